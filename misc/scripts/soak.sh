#!/usr/bin/env bash
# Plays seeds of the fault soak side by side and prints what they found.
#   misc/scripts/soak.sh FIRST LAST [SECONDS] [HOSTS] [JOBS]
set -uo pipefail
cd "$(dirname "$0")/../.."
first="$1"
last="$2"
seconds="${3:-6}"
hosts="${4:-5}"
jobs="${5:-6}"
out=$(mktemp -d)
seq "$first" "$last" | xargs -P "$jobs" -I{} sh -c \
  'DAMASKTACK_SOAK_FIRST={} DAMASKTACK_SOAK_LAST={} DAMASKTACK_SOAK_SECONDS="$1" \
   DAMASKTACK_SOAK_HOSTS="$2" build/tests/soak_tests -tc="promises hold*" > "$3/{}.txt" 2>&1' \
  _ "$seconds" "$hosts" "$out"
grep -h '^seed' "$out"/*.txt | sort -n -k2
clean=$(grep -l '^seed.* 0 violations' "$out"/*.txt | wc -l)
echo "$clean of $((last - first + 1)) seeds without a violation; output in $out"
for it in "$out"/*.txt; do
  grep -q '^seed.* 0 violations' "$it" || { echo "== $(basename "$it" .txt)"; grep -vE 'doctest|^=' "$it" | head -n 12; }
done
