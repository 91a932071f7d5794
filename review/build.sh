#!/usr/bin/env bash
# Builds what the scripts of the cases start beside the product: the stand-ins, with the rig that runs them.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for program in review/[0-9]*/main.go; do
  n=$(basename "$(dirname "$program")")
  go build -o "target/review/case-$n" "./review/$n"
done
