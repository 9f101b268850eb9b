#!/usr/bin/env bash
# Writes docs/measurements/admission.md from a run of the two admission benches.
# "Before" is the same bench at the commit named there, kept beside the page.
set -euo pipefail
cd "$(dirname "$0")/../.."
build="${1:-build}"
cmake --build "$build" --target admission_bench admission_retry_bench
page=docs/measurements/admission.md
{
  echo "# Admission and retries"
  echo
  echo "Written by \`misc/scripts/measure_admission.sh\`: 15 hosts; mower dispatch with 6"
  echo "endpoints of 6 slots in 3 zones 1 ms apart, renewals with 8 of 3 in 4 zones 1.5 ms"
  echo "apart; 100 probes a second for the fleet; an event queue with fixed"
  echo "seeds (three runs of 30 s each), exponential service times: urgent 8 ms, normal"
  echo "12 ms, report 60 ms. Goals: dock p99 beside the report at most 1.25 times that"
  echo "without it at 85% load; share error within 5%; at depth 10 under 1.2 times the"
  echo "first attempts. \"Sent on arrival\" is the naive way for comparison."
  echo "The first round's figures stand in \`admission_before.md\`."
  "$build/bench/admission_bench"
  "$build/bench/admission_retry_bench"
} >"$page"
echo "wrote $page"
