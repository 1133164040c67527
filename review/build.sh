#!/usr/bin/env bash
# Prepares the stand-ins of the review cases. They need Python 3.11 or later and nothing beside its standard library. The
# project's own programs are built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
python3 - <<'PY'
import ast, pathlib
for path in [*pathlib.Path("lib").glob("*.py"), *pathlib.Path(".").glob("[1-5]/*.py")]:
    ast.parse(path.read_text(), str(path))
PY
