#!/usr/bin/env bash
# Compiles the stand-ins and the cases. They need the standard library of
# Python 3.11 or newer and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile standins.py ./*/case.py
