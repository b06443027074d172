#!/bin/sh
# Builds what the scripts of this review start beside the gateways: stand-ins in Python, without
# dependencies. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")"
python3 -m py_compile common-3/standins.py 1[1-5]/*.py
