#!/bin/sh
# Builds the stand-ins and the cases of the second review into target/review-2, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
rm -rf target/review-2
mkdir -p target/review-2 || exit 2
gcc -O1 -Wall -o target/review-2/holdsocket review/standins-2/holdsocket.c || exit 2
set -- review/standins-2/*.java
for case in 6 7 8 9 10; do
    for source in review/$case/*.java; do
        [ -e "$source" ] && set -- "$@" "$source"
    done
done
javac -nowarn -d target/review-2 "$@" || exit 2
