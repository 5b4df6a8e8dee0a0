#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays it without the
# disruption. Takes about 45 seconds.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-rig ] && [ -x target/yardhalld ] || { echo "build the deploy file and review/build.sh first"; exit 2; }
exec target/review-rig -scenario tunnel-kill -root . -record review/3/record.txt
