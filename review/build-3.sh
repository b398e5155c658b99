#!/usr/bin/env bash
# Builds the stand-ins of review 3, without any dependency.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -D warnings -o target/review-3/review-3 review/standins-3/main.rs
