#!/bin/sh
# Build the stand-ins of cases 6 to 10: compile what their scripts import, with
# the packages of the deploy file's build. Run it after that build.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps ] || { echo 'run the build of deploy/system.toml first'; exit 1; }
mkdir -p target/review || exit 1
PYTHONPATH=target/deps PYTHONPYCACHEPREFIX=target/review \
    python3 -m compileall -q standins cassialever review/rig_2.py || exit 1
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 python3 - <<'PY'
import sys

sys.path.insert(0, 'review')
import rig_2

print('built', rig_2.__name__)
PY
