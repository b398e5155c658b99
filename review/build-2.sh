#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10, with the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -D warnings -o target/review-2/case review/standins-2/main.rs
