#!/bin/sh
# Checks that the stand-ins of the scripts compile and find their libraries, which the
# build of the deploy file has put into target/deps. Nothing else has to be built.
cd "$(dirname "$0")/.." || exit 2
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:.
python3 -c 'import review.standins' || exit 2
for case in review/[0-9]*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$case" || exit 2
done
