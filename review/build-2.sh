#!/bin/bash
# Checks that the stand-ins of cases 6 to 10 can be loaded; they are Python
# programs that need no other build than that of the deploy file.
set -e
cd "$(dirname "$0")/.."
for file in review/lib2/fleetkit.py review/{6,7,8,9,10}/case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
test -d target/deps
