#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into build-review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-3
for source in review/standins-3/*.cpp; do
    g++ -std=c++20 -O1 -pthread -o "build-review-3/$(basename "$source" .cpp)" "$source"
done
