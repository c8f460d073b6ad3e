#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15, and of what REPORT-3.md tells beside them, into
# target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for program in hurry inplace slots parts crashrequest crashpart; do
	go build -buildvcs=false -o "target/review-3/$program" "./review/third/$program"
done
