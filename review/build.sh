#!/bin/sh
# Builds the stand-ins that the scripts of the review start.
set -eu
cd "$(dirname "$0")/platform"
GOWORK=off go build -o ../bin/standin .
