#!/usr/bin/env bash
# Measures fleets of real daemons on loopback; see bench/fleet_measure.py for what and how.
#   misc/scripts/measure_fleet.sh [HOSTS...]     default: 5 10 15
set -euo pipefail
cd "$(dirname "$0")/../.."
for program in main/damasktack standin/damasktack_standin; do
  if [ ! -x "build/$program" ]; then
    misc/scripts/build.sh
  fi
done
exec python3 bench/fleet_measure.py "${@:-}"
