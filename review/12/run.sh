#!/usr/bin/env bash
# Case 12. TROUBLE=0 gives the same config a small version number.
# Exits with 1 if a dropped route was still served, or nothing after a kill of all processes, 0 if not,
# 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/review-3 ] || { echo "run review/build-3.sh first"; exit 2; }
TROUBLE="${TROUBLE:-1}" exec target/review-3/review-3 12 review/12
