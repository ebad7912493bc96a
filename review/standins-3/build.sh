#!/bin/sh
# Builds the stand-ins and the cases that use them.
cd "$(dirname "$0")/../.." || exit 2
rm -rf review/standins-3/classes
mkdir -p review/standins-3/classes || exit 2
gcc -O -o review/standins-3/classes/holdsocket review/standins-3/holdsocket.c &&
    javac -d review/standins-3/classes review/standins-3/Rig.java review/*/*AtUpgrade.java
