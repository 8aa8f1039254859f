#!/bin/sh
# Builds what the scripts of review/6 and later start, beside the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/drill.new review/drill-2/main.rs
mv target/review-2/drill.new target/review-2/drill
