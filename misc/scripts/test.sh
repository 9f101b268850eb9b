#!/usr/bin/env bash
# Installs, builds and runs every test.
set -euo pipefail
cd "$(dirname "$0")/../.."
build="${1:-build}"
misc/scripts/build.sh "$build"
# One test program at a time: several start servers and sum up what they saw.
misc/scripts/run_tests.py "$build"
