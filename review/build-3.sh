#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are Python programs without dependencies (Python 3.11 or later), so this only
# compiles them, which finds an unsuitable interpreter before a case is run.
cd "$(dirname "$0")" || exit 1
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 or later is required" >&2; exit 1; }
python3 -m py_compile harness3.py 1[1-5]/case.py
