#!/bin/sh
# Builds the stand-ins of the second review and its cases into review/kit-2/classes. Needs Java 17 and no network.
set -e
cd "$(dirname "$0")"
rm -rf kit-2/classes
mkdir -p kit-2/classes
sources=kit-2/src/*.java
for case in 6 7 8 9 10; do
    for file in "$case"/*.java; do
        if [ -f "$file" ]; then sources="$sources $file"; fi
    done
done
# shellcheck disable=SC2086
javac -Xlint:all --release 17 -d kit-2/classes $sources
