#!/bin/sh
# Prepares the stand-ins of the cases 6 to 10. They are written in Python and use its standard library only, so that this
# compiles nothing: it checks that they can be loaded. The cases start target/release/fescuelead-node, which the build command of
# deploy/system.toml makes.
cd "$(dirname "$0")" || exit 1
python3 -B -c '
import sys
sys.path.insert(0, "standins-2")
import standins
for number in range(6, 11):
    path = f"{number}/case.py"
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
print("stand-ins ready")
'
