#!/bin/sh
# Builds what the review's scripts start besides the router, which the deploy file's build makes: the stand-ins
# in standins/ are Python of the standard library alone and run by .venv/bin/python, so this checks only that
# they and the scripts compile. Nothing is written.
here=$(CDPATH= cd -- "$(dirname -- "$0")" && pwd) || exit 2
cd "$here/.." || exit 2
exec .venv/bin/python -B - <<'CHECK'
import pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
print("the stand-ins compile")
CHECK
