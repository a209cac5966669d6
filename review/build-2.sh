#!/bin/sh
# Builds what the cases 4 to 8 start besides the nodes: checks that the stand-ins can be read and imported.
# They are Python and need no compiler; run the build of deploy/service.toml first.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps
python3 -B -c "import sys; sys.path.insert(0, 'review/support-2'); import cluster"
for n in 4 5 6 7 8; do
    python3 -B -c "import ast, sys; ast.parse(open(sys.argv[1], encoding='utf-8').read())" "review/$n/case.py"
done
