#!/usr/bin/env bash
# The stand-ins of the cases are Python: this compiles them.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH="$PWD/target/deps" python3 -c 'import aiohttp, msgspec' || exit 1
exec python3 -m compileall -q review
