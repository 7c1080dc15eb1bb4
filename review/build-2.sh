#!/usr/bin/env bash
# Checks what the scripts of review/6 to review/10 start besides the nodes.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile fleet2.py ./[6-9]/case.py $(ls ./10/case.py 2>/dev/null || true)
