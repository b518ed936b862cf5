#!/bin/sh
# Builds the stand-ins of the scripts: Python files of the standard library.
cd "$(dirname "$0")/.." || exit 2
exec "${PYTHON:-python3}" -c '
import pathlib, sys
assert sys.version_info >= (3, 11), "the stand-ins need Python 3.11"
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
print("the stand-ins are ready")
'
