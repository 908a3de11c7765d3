#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disturbance out.
cd "$(dirname "$0")/../.." || exit 2
[ -e target/review-2/small_deployment.py ] || exit 2
export TROUBLE="${TROUBLE:-1}"
PYTHONPATH=target/review-2:target/deps exec python3 review/10/case.py
