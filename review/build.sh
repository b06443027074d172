#!/usr/bin/env bash
# Builds the stand-ins of the cases: compiles them, and checks that they can be imported.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q common [1-5]
PYTHONPATH=. python3 -c "from common import client, engine, gateway, store, wire"
