#!/usr/bin/env bash
# Builds every stand-in that the scripts of the cases start, into review/build/. Needs g++ and libssl-dev, which the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in standins/*.cpp; do
    name="$(basename "$source" .cpp)"
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "build/$name" "$source" -lcrypto
done
