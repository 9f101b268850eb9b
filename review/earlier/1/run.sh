#!/usr/bin/env bash
# Runs the case; exit 1: the rule was broken, 0: it held, 2: could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
timeout -k 5 115 python3 -B case.py
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
