#!/usr/bin/env bash
# Builds everything into build/ (or the folder given).
set -euo pipefail
cd "$(dirname "$0")/../.."
build="${1:-build}"
misc/scripts/install_packages.sh
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build"
