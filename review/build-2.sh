#!/bin/bash
# Builds the stand-ins of the scripts in review/6 to review/10; run it after the build of
# the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
cp review/small_deployment.py target/review-2/
PYTHONPATH=target/review-2:target/deps python3 -c "import small_deployment"
