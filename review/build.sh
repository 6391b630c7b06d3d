#!/usr/bin/env bash
# Builds the programs that the cases start, beside those of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for number in 1 2 3; do
	if [ -d "review/$number" ] && [ -e "review/$number/main.go" ]; then
		go build -o "target/review/case$number" "./review/$number"
	fi
done
