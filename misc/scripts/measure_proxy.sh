#!/usr/bin/env bash
# What the proxy adds to a call on loopback, its memory by connections, and the
# same small server by cpp-httplib. Takes under two minutes; prints Markdown.
# Usage: misc/scripts/measure_proxy.sh [BUILD_FOLDER]
set -euo pipefail
cd "$(dirname "$0")/../.."
bench="${1:-build}/bench/proxy_bench"
work=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; rm -rf "$work"' EXIT

# start NAME ARGS...: runs a server role; sets pid and port.
start() {
  local name=$1
  shift
  : >"$work/$name"
  "$bench" "$@" >"$work/$name" &
  pid=$!
  pids+=("$pid")
  until grep -q port "$work/$name"; do sleep 0.05; done
  port=$(awk '{print $2}' "$work/$name")
}
stop() {
  kill "$1"
  wait "$1" 2>/dev/null || true
}
# User and system time in hundredths of a second.
cpu() { awk '{print $14 + $15}' "/proc/$1/stat"; }
rss() { awk '/VmRSS/ {printf "%.1f", $2 / 1024}' "/proc/$1/status"; }
threads() { awk '/Threads/ {print $2}' "/proc/$1/status"; }

rates=(500 1000 2000 4000 8000 16000 24000)
seconds=1
rounds=3
connections=64
echo "load before: $(cut -d' ' -f1-3 /proc/loadavg), $(nproc) processors"
start endpoint endpoint
endpoint_port=$port
start proxy proxy "$endpoint_port" 2
proxy_port=$port
proxy_pid=$pid
idle_rss=$(rss "$proxy_pid")
"$bench" load "$proxy_port" 1000 1 $connections >/dev/null

echo "| calls/s asked | served | direct p50 / p99 / p99.9 us | through p50 / p99 / p99.9 us | added at p99 us | errors | calls/s for each core |"
echo "| --- | --- | --- | --- | --- | --- | --- |"
# Runs with and without the proxy take turns; each quantile is the median of
# the rounds, so that one burst of other work on the machine does not decide.
median() { cut -d' ' -f"$2" "$1" | sort -n | sed -n "$(((rounds + 1) / 2))p"; }
for rate in "${rates[@]}"; do
  : >"$work/direct"
  : >"$work/through"
  used=0
  for ((round = 0; round < rounds; round++)); do
    "$bench" load "$endpoint_port" "$rate" $seconds $connections >>"$work/direct"
    before=$(cpu "$proxy_pid")
    "$bench" load "$proxy_port" "$rate" $seconds $connections >>"$work/through"
    used=$((used + $(cpu "$proxy_pid") - before))
  done
  d=() t=()
  for n in 2 3 4; do
    d+=("$(median "$work/direct" $n)")
    t+=("$(median "$work/through" $n)")
  done
  served=$(median "$work/through" 1)
  errors=$(awk '{n += $5} END {print n}' "$work/through")
  per_core=$((rate * seconds * rounds * 100 / (used > 0 ? used : 1)))
  echo "| $rate | $served | ${d[0]} / ${d[1]} / ${d[2]} | ${t[0]} / ${t[1]} / ${t[2]} | $((t[1] - d[1])) | $errors | $per_core |"
done
stop "$proxy_pid"

echo
echo "| server | connections | threads | resident MB | p99 us at 1000 calls/s |"
echo "| --- | --- | --- | --- | --- |"
# row NAME ROLE...: memory and p99 with that many idle connections held open.
row() {
  local name=$1 held=$2
  shift 2
  start server "$@"
  local server_pid=$pid server_port=$port
  if ((held > 0)); then
    start hold hold "$server_port" "$held"
    local hold_pid=$pid
  fi
  local memory count
  memory=$(rss "$server_pid")
  count=$(threads "$server_pid")
  read -r _ _ p99 _ _ < <("$bench" load "$server_port" 1000 2 32)
  echo "| $name | $held | $count | $memory | $p99 |"
  if ((held > 0)); then stop "$hold_pid"; fi
  stop "$server_pid"
}
echo "| damasktack, just started | 0 | 3 | $idle_rss | |"
row damasktack 250 proxy "$endpoint_port" 2
row damasktack 2000 proxy "$endpoint_port" 2
row "asio server" 2000 endpoint
row "cpp-httplib, a thread for each connection" 250 httplib 2100
row "cpp-httplib, a thread for each connection" 2000 httplib 2100
echo
echo "load after: $(cut -d' ' -f1-3 /proc/loadavg)"
