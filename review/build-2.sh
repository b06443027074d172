#!/bin/sh
# Builds the stand-ins of cases 6 to 10: the project's store and the engine and clients of common-2.
# They are Python and need what the build of the deploy file has put into target/deps.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/common-2 features/support/platform
PYTHONPATH="target/deps:.:features" python3 -c "import h11, support.platform.store"
echo "stand-ins are built"
