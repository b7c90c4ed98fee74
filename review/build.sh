#!/bin/sh
# Builds the stand-ins of the review's cases. They use nothing but the standard library.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/standins/main.rs -o target/review/standins
