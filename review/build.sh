#!/bin/sh
# Builds the stand-ins of all cases into review/out.
set -eu
cd "$(dirname "$0")"
rm -rf out
mkdir -p out
javac -Xlint:all -d out standin/*.java
