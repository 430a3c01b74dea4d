#!/usr/bin/env bash
# Checks that the stand-ins of the cases can run; they need nothing but Python's standard library.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib
import sys

assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(), str(path), "exec")
PY
