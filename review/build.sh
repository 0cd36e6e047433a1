#!/bin/sh
# Builds the stand-ins of the scripts. They need only the standard library of Python 3.11, so that
# the build only checks that they compile.
cd "$(dirname "$0")" || exit 2
exec python3 - <<'CHECK'
import pathlib

for source in sorted(pathlib.Path().glob("*/*.py")):
    compile(source.read_text(), str(source), "exec")
CHECK
