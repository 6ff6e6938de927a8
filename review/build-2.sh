#!/bin/sh
# The stand-ins of the second review are Python programs: nothing to compile, their syntax is checked.
set -e
cd "$(dirname "$0")"
for file in harness2.py link2.py executors2.py [0-9]*/case2.py; do
    if [ -e "$file" ]; then
        python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
    fi
done
