#!/usr/bin/env bash
# Plays the days of deploy/days on one deployment and prints those that break a rule.
#   misc/scripts/play_days.sh FLEETBENCH SITE [PATTERN] [JOBS]
set -uo pipefail
bench=$(realpath "$1")
site=$(realpath "$2")
pattern="${3:-*}"
jobs="${4:-6}"
cd "$(dirname "$0")/../.."
out=$(mktemp -d)
"$bench" build > /dev/null
printf '%s\n' deploy/days/$pattern.toml | xargs -P "$jobs" -I{} sh -c \
  '"$1" run "$2" "$4" --why "own day" > "$3/$(basename "$4" .toml).txt" 2>&1' _ "$bench" "$site" "$out" {}
played=0
for it in "$out"/*.txt; do
  played=$((played + 1))
  grep -q ' worth [0-9]' "$it" || grep -qE '^worth' "$it" || echo "$(basename "$it" .txt): not played: $(tail -n 1 "$it")"
  grep -HoE 'BROKEN: .*|fault:.*' "$it" | sed "s|$out/||; s|.txt:|: |"
done
echo "$played days played on $(basename "$site" .toml); output in $out"
