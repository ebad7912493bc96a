#!/bin/sh
# Builds the stand-ins of the cases into review/out. Needs javac and gcc, and no network.
set -eu
cd "$(dirname "$0")"
rm -rf out
mkdir out
gcc -O2 -Wall -o out/listen standins/listen.c
javac -Xlint:all -d out standins/*.java
