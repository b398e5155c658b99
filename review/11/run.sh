#!/usr/bin/env bash
# Case 11. TROUBLE=0 leaves out the change of the config and the restart of the fronts.
# Exits with 1 if an open flow was reset, 0 if none was, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/review-3 ] || { echo "run review/build-3.sh first"; exit 2; }
TROUBLE="${TROUBLE:-1}" exec target/review-3/review-3 11 review/11
