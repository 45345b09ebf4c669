#!/bin/sh
# Builds the stand-ins of all cases. They need nothing but Python's own library, in the environment of the
# deploy file, whose `build` has to run first.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -m compileall -q review
