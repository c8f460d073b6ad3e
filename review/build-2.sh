#!/usr/bin/env bash
# Builds the stand-ins of the second review. It runs after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/standin2 ./review/second/platform
