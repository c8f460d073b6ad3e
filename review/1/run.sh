#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/standin ] || exit 2
exec ../bin/standin joined "$PWD"
