#!/usr/bin/env bash
# Prepares the stand-ins of the second review. They are Python programs that use
# the standard library only, so there is nothing to compile: this checks that
# the interpreter is there and that the files are valid.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("python3 3.11 or newer is needed")
for pattern in ("support-2/*.py", "[4-8]/*.py"):
    for path in sorted(pathlib.Path(".").glob(pattern)):
        compile(path.read_text(), str(path), "exec")
PYTHON
