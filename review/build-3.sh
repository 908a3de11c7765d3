#!/bin/sh
# Put the stand-ins that the scripts of review/11 to review/15 start under target/review-3.
# Run it after the build of the deploy file; it needs no network.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
cp -r packages/fulmarlever_standins/fulmarlever_standins target/review-3/
PYTHONPATH=target/review-3:target/deps python3 -c "import fulmarlever_standins.authority.server"
