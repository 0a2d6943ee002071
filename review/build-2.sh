#!/usr/bin/env bash
# The stand-ins of the second review are Python programs that need the standard library
# only. There is nothing to compile; this checks that the interpreter can load them.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review python3 -c 'import stage'
