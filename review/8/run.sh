#!/usr/bin/env bash
# Plays the case "spoiled" after the build of the deploy file and review/build-2.sh. Exits with 1
# if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
set -u
cd "$(dirname "$0")/../.."
[ -x target/sycamoretally ] && [ -x target/cases2 ] || { echo "not built"; exit 2; }
exec target/cases2 spoiled review/8/record.txt
