#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f review/out/standin/ReleasesCase.class ] || { echo "review/build.sh has not run"; exit 2; }
exec java -Xmx256m -cp review/out standin.ReleasesCase review/3
