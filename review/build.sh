#!/usr/bin/env bash
# Builds the stand-ins of the cases: they are plain Python, so this compiles
# them once to show that they load.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'P'
import pathlib

for path in sorted(pathlib.Path('.').rglob('*.py')):
    compile(path.read_text(), str(path), 'exec')
P
