#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start, into review/build-2/. Needs g++, which the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build-2
echo "*" > build-2/.gitignore
for source in standins-2/*.cpp; do
    name="$(basename "$source" .cpp)"
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "build-2/$name" "$source"
done
