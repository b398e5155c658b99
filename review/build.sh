#!/bin/sh
# The stand-ins of the scripts are Python files of the standard library alone, so there is
# nothing to compile; this checks that each of them can be read. The programs under test
# come from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
for file in standins/*.py [1-5]/case.py; do
    [ -f "$file" ] || continue
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
test -x ../target/release/chestnutlbd || echo "build the deploy file first: target/release/chestnutlbd is missing"
