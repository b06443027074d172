#!/usr/bin/env bash
# TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")"
export TROUBLE="${TROUBLE:-1}"
PYTHONPATH=.. exec python3 case.py
