#!/usr/bin/env bash
# Build the stand-ins that the scripts of the third review start.
#
# All of them are Python: the store, the servers and the clients run in the
# process of a script. Each file is compiled once, so that one that this Python
# cannot read is noticed here.
set -eu
cd "$(dirname "$0")"
exec python3 - <<'PY'
import pathlib

for path in (pathlib.Path('fleet3.py'), *sorted(pathlib.Path().glob('1[1-5]/*.py'))):
    compile(path.read_text(), str(path), 'exec')
PY
