#!/usr/bin/env bash
# A worker leaves, and all processes are killed right after the acknowledgement.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
drive=review/standin-2/bin/drive
[ -x "$drive" ] && [ -x target/yardhalld ] || { echo "build first: the deploy file's build and review/build-2.sh"; exit 2; }
exec "$drive" -root . -record review/7/record.txt departed
