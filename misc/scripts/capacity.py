#!/usr/bin/env python3
"""Works out docs/CAPACITY.md's table from measured slopes.

Every constant below was measured on one machine; docs/CAPACITY.md names the
command for each. Change a slope here after measuring it again and run this.
"""

import argparse
import math
from dataclasses import dataclass

SECONDS_A_DAY = 86_400


@dataclass(frozen=True)
class Slopes:
    # bench/proxy_bench: processor time for one call at 24,000 a second.
    call_us: float = 64.0
    # docs/measurements/proxy.md: resident memory idle, and by connection.
    idle_mb: float = 8.7
    connection_kb: float = 7.0
    # misc/scripts/measure_fleet.sh: links of one host, both directions.
    link_kb_s_at_15: float = 2.46
    link_kb_s_each_peer: float = 0.13
    # bench/fleet_change_bench: control's processor time of a quiet host.
    control_percent_at_15: float = 0.25
    control_percent_at_60: float = 0.65
    # misc/scripts/measure_fleet.sh: 2.9 MB for 300 contracts.
    contract_kb: float = 9.7
    # bench/limit_share_bench: a customer past its part, 2 and 15 of 15 hosts.
    lending_kb_s_few_hosts: float = 0.44
    lending_kb_s_all_hosts: float = 1.76
    # bench/decision_time_bench at 510 endpoints in one service; at 15.
    choice_us_at_510: float = 1.01
    choice_us_at_15: float = 0.46
    # bench/platform_reads_bench: quiet, over all hosts; at a common start.
    platform_reads_s: float = 1.3
    start_reads_each_host: float = 3.0


@dataclass(frozen=True)
class Size:
    calls_s: int
    changes_a_day: int
    contracts: int
    contract_bytes: int
    connections_each_host: int
    hosts: int
    keyed_calls_s: float
    retention_s: int
    records_each_host: int = 100_000


def control_percent(slopes, hosts):
    slope = (slopes.control_percent_at_60 - slopes.control_percent_at_15) / 45
    return slopes.control_percent_at_15 + slope * (hosts - 15)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=110_000)
    parser.add_argument("--hosts", type=int, default=44)
    parser.add_argument("--contracts", type=int, default=400)
    parser.add_argument("--contract-bytes", type=int, default=600)
    parser.add_argument("--connections", type=int, default=2_000)
    parser.add_argument("--keyed-calls", type=float, default=25.0)
    parser.add_argument("--retention-s", type=int, default=SECONDS_A_DAY)
    given = parser.parse_args()
    size = Size(given.calls, 890, given.contracts, given.contract_bytes, given.connections,
                given.hosts, given.keyed_calls, given.retention_s)
    slopes = Slopes()

    body_kb = size.contracts * size.contract_bytes / 1000
    # A host receives each body once and passes it on once on average.
    document_kb_s = 2 * body_kb * size.changes_a_day / SECONDS_A_DAY
    link_kb_s = slopes.link_kb_s_at_15 + slopes.link_kb_s_each_peer * (size.hosts - 15)
    calls_each = size.calls_s / size.hosts
    memory_mb = (slopes.idle_mb + size.connections_each_host * slopes.connection_kb / 1000
                 + size.contracts * slopes.contract_kb / 1000)
    # Each key's record stands on two keepers.
    keyed_most = size.hosts * size.records_each_host / 2 / size.retention_s
    left_kb_s = 28 - link_kb_s - document_kb_s
    rows = [
        ("hosts", f"{size.hosts}"),
        ("calls/s a host", f"{calls_each:.0f}"),
        ("calls/s a host with a region of three lost", f"{calls_each * 1.5:.0f}"),
        ("cores for calls, a host", f"{calls_each * slopes.call_us / 1e6:.2f}"),
        ("cores for calls, all hosts", f"{size.calls_s * slopes.call_us / 1e6:.1f}"),
        ("memory, MB", f"{memory_mb:.0f}"),
        ("control, % of a core", f"{control_percent(slopes, size.hosts):.2f}"),
        ("heartbeats and digests, KB/s", f"{link_kb_s:.1f}"),
        ("documents, KB/s", f"{document_kb_s:.1f} (body {body_kb:.0f} KB)"),
        ("left for lending and claims, KB/s", f"{left_kb_s:.1f}"),
        ("customers past their part at once, few hosts", f"{left_kb_s / slopes.lending_kb_s_few_hosts:.0f}"),
        ("customers past their part at once, all hosts", f"{left_kb_s / slopes.lending_kb_s_all_hosts:.0f}"),
        ("platform reads/s, quiet", f"{slopes.platform_reads_s:.1f}"),
        ("platform reads at a common start", f"{slopes.start_reads_each_host * size.hosts:.0f}"),
        ("hosts at which heartbeats alone take 28 KB/s",
         f"{15 + (28 - slopes.link_kb_s_at_15) / slopes.link_kb_s_each_peer:.0f}"),
        ("keyed calls/s that the records hold", f"{keyed_most:.1f} at a retention of {size.retention_s} s"),
    ]
    width = max(len(name) for name, _ in rows)
    for name, value in rows:
        print(f"| {name.ljust(width)} | {value} |")
    largest = math.floor((28 - link_kb_s) * SECONDS_A_DAY / 2 / size.changes_a_day)
    print(f"| {'body that fills the 28 KB/s alone'.ljust(width)} | {largest} KB |")


if __name__ == "__main__":
    main()
