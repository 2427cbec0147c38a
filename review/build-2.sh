#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, which stand in the folder of the first of them.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -buildvcs=false -o target/review-standin2 ./review/6/standin
