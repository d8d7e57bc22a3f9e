#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/gentianhost ] && [ -x target/review-stand ] || { echo "build first: the build line of deploy/system.toml, then review/build.sh"; exit 2; }
exec target/review-stand drill "$here/record.txt"
