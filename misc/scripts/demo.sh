#!/usr/bin/env bash
# Builds, starts stand-ins for the platform and the endpoints with several entry hosts, sends a
# mixed load for ten seconds, and prints what each class got and what the measuring cost.
#   misc/scripts/demo.sh [alentejo|cuyo] [HOSTS]
set -euo pipefail
cd "$(dirname "$0")/../.."
preset="${1:-alentejo}"
hosts="${2:-3}"
misc/scripts/build.sh
work=$(mktemp -d)
pids=()
stop() {
  # The hosts stop gracefully before the endpoints behind them do.
  for ((n = ${#pids[@]} - 1; n >= 0; n--)); do
    kill -TERM "${pids[n]}" 2>/dev/null || true
    wait "${pids[n]}" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap stop EXIT

build/standin/damasktack_standin documents --preset "$preset" --hosts "$hosts" --out "$work"
build/standin/damasktack_standin run --dir "$work" > "$work/standin.log" & pids+=($!)
for _ in $(seq 100); do
  grep -q ready "$work/standin.log" && break
  sleep 0.1
done
started=$(date +%s.%N)
for ((n = 1; n <= hosts; n++)); do
  build/main/damasktack --settings "$work/host-h$n.json" > "$work/h$n.log" 2>&1 & pids+=($!)
done

# Prints member $2 of the JSON file $1, as in "admin.listen".
member() {
  python3 -c 'import functools, json, sys
print(functools.reduce(lambda it, key: it[key], sys.argv[2].split("."), json.load(open(sys.argv[1]))))' "$1" "$2"
}
for ((n = 1; n <= hosts; n++)); do
  admin=$(member "$work/host-h$n.json" admin.listen)
  for _ in $(seq 100); do
    curl -fs "http://$admin/readyz" >/dev/null && break
    sleep 0.1
  done
done

control="127.0.0.1:$(member "$work/standin.json" control_port)"
seconds=10
echo "preset $preset, $hosts entry hosts, ${seconds} s of mixed load"
build/main/damasktackctl load --plan "$work/load.json" --duration "${seconds}s"
curl -fs "http://$control/standin/endpoints" > "$work/endpoints.json"
curl -fs "http://$control/standin/platform" > "$work/platform.json"
python3 - "$work" "$started" "$(date +%s.%N)" <<'PYTHON'
import json, sys
folder, seconds = sys.argv[1], float(sys.argv[3]) - float(sys.argv[2])
load = lambda name: json.load(open(f"{folder}/{name}.json"))
counts, platform = load("endpoints"), load("platform")
print("\nservice      endpoints  executions  shed  probes  budget of probes (published rate x time since the start)")
for service in load("services")["services"]:
    mine = [counts[it["id"]] for it in service["endpoints"]]
    total = lambda key: sum(it[key] for it in mine)
    print(f'{service["id"]:<12} {len(mine):>9} {total("executions"):>11} {total("shed"):>5}'
          f' {total("probes"):>7} {service["probes_per_second"] * seconds:>7.0f}')
print(f'\nreads of the platform since the start: {platform["reads"]}')
PYTHON
