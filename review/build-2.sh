#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases. Run it from the repository's root, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2/harness ./review/harness2
