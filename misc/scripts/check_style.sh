#!/usr/bin/env bash
# Formatter and linter over every source file; fails on the first kind of fault.
set -euo pipefail
cd "$(dirname "$0")/../.."
build="${1:-build}"
mapfile -t sources < <(git ls-files '*.cc' '*.h')
misc/scripts/check_layers.py
clang-format --dry-run --Werror "${sources[@]}"
mapfile -t units < <(git ls-files 'core/*.cc' 'contract/*.cc' 'policy/*.cc' 'fleet/*.cc' \
  'wire/*.cc' 'platform/*.cc' 'proxy/*.cc' 'admin/*.cc' 'main/*.cc' 'standin/*.cc')
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p "$build" 2>/dev/null
echo "formatter and linter are clean over ${#sources[@]} files"
