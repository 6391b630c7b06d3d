#!/usr/bin/env bash
# Plays this case on the programs of the deploy file's build and the stand-ins of review/build-2.sh; claim.txt tells what it shows.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 plays it without the disruption.
set -u
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/puffinlink ] && [ -x target/review-2/harness ] || { echo "build first: deploy/system.toml, review/build-2.sh" >&2; exit 2; }
exec target/review-2/harness nested target/puffinlink "$folder/record.txt"
