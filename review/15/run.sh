#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x build-review-3/CrashesUnderOneId ] || { echo "COULD NOT RUN: build with review/build-3.sh first"; exit 2; }
[ -x target/lavenderloft ] || { echo "COULD NOT RUN: build with the line of deploy/system.toml first"; exit 2; }
exec build-review-3/CrashesUnderOneId review/15
