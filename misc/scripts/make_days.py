#!/usr/bin/env python3
"""Writes deploy/days/: one day for each kind of trouble, alone and in pairs.

Each file is a day in the format of the users' site files and fits any of
them. Pairs are drawn with a fixed seed, so that the folder stays the same.
Where a day names a kind of request, a service or a zone it takes the site's
first one: @c0, @s0, @z0.
"""

import pathlib
import random

ROOT = pathlib.Path(__file__).resolve().parents[2]

# Kind, and the members that go with it.
KINDS = {
    "srv_flap": ["share = 0.3, gap_s = 1.5, for_s = 10.0"],
    "srv_cut": [
        "share = 0.25, for_s = 6.0",
        'share = 0.25, for_s = 6.0, how = "fronts", x = 0.4',
        'share = 0.25, for_s = 6.0, how = "some", x = 0.4',
        'share = 0.25, for_s = 6.0, how = "one_way"',
        'share = 0.25, for_s = 6.0, how = "reset"',
        'share = 0.25, for_s = 6.0, how = "reborn"',
    ],
    "srv_crash": ['share = 0.3, for_s = 5.0, how = "dark"', 'share = 0.2, how = "dark gone"'],
    "srv_slow": ["share = 0.4, x = 10.0, for_s = 8.0"],
    "srv_grey": [
        f'share = 0.3, x = 0.6, for_s = 8.0, how = "{how}"'
        for how in ("errors", "shed", "busy", "hang", "reset", "mute", "slow", "shed all", "errors all")
    ],
    "srv_lying_health": [
        f'share = 0.3, for_s = 8.0, how = "{how}"' for how in ("errors", "hang", "reset", "bad")
    ],
    "release": ["share = 1.0, x = 2.0, gap_s = 0.8"],
    "replace_with_reuse": ["share = 0.3", 'share = 0.3, how = "drain"', 'share = 0.3, how = "dark"'],
    "scale_in": ["share = 0.3", 'share = 0.3, how = "stay", for_s = 12.0', 'share = 0.3, how = "spot", x = 2.0'],
    "scale_out": ["share = 0.5, gap_s = 0.5"],
    "answer_lost": ["share = 0.6, x = 0.3, for_s = 6.0", 'share = 0.6, x = 0.3, for_s = 6.0, how = "reset"'],
    "garble": [
        f'share = 0.6, x = 0.1, for_s = 8.0, how = "{how}"'
        for how in ("", "extra", "extra late", "unframed", "early")
    ],
    "node_kill": ["share = 0.3", 'share = 0.3, how = "power", for_s = 4.0'],
    "node_freeze": ["share = 0.3, for_s = 4.0"],
    "node_slow": ["share = 0.3, x = 5.0, for_s = 6.0"],
    "roll_term": ["share = 1.0, gap_s = 1.0", 'share = 1.0, gap_s = 0.6, how = "busy"'],
    "herd_kill": ["share = 0.7", 'share = 0.7, how = "power", for_s = 3.0'],
    "after_ack_kill": ["for_s = 3.0", 'for_s = 3.0, how = "timed"'],
    "core_cut": ["count = 2, for_s = 6.0", 'count = 2, for_s = 6.0, how = "one_way"'],
    "node_cut": ['share = 0.3, for_s = 6.0', 'share = 0.3, for_s = 6.0, how = "servers"', 'share = 0.3, for_s = 6.0, how = "meet"'],
    "lossy": ["x = 0.05, for_s = 8.0"],
    "platform_down": [
        f'for_s = 6.0, how = "{how}"'
        for how in ("silent", "busy", "reset", "busy lapse", "nodes busy revoke meet", "nodes many", "nodes silent drain")
    ],
    "platform_slow": ["x = 80.0, for_s = 6.0"],
    "platform_lost": ["x = 0.5, for_s = 6.0"],
    "platform_compact": ['x = 5.0, for_s = 10.0, how = "drain"'],
    "config_change": [f'how = "{how}"' for how in ("route", "weights", "timeout", "idle")],
    "config_storm": ["for_s = 5.0, gap_s = 0.25"],
    "clock_step": ['share = 0.4, x = 4000.0, for_s = 6.0, how = "back"', 'share = 0.4, x = 4000.0, for_s = 6.0, how = "ahead"'],
    "hup": ["share = 1.0, gap_s = 3.0"],
    "reset_conns": ["share = 0.4, x = 0.8"],
    "burst": ["x = 1.8, for_s = 6.0"],
    "retry_abuse": ["share = 0.4, x = 4.0, for_s = 6.0"],
    "give_up": ["share = 0.4, for_s = 6.0"],
}
PLANNED = {"evacuate", "big_config", "release", "scale_in", "scale_out", "roll_term", "config_change", "config_storm", "hup", "add_nodes"}
PAIRS = 40
# Endpoints that start again under their id, while the fleet or the store is in
# trouble too.
RESTARTS = [
    ("srv_cut", 'share = 0.4, for_s = 5.0, how = "reborn"'),
    ("node_cut", 'share = 0.4, for_s = 5.0, how = "servers reborn"'),
    ("srv_flap", "share = 0.4, gap_s = 1.2, for_s = 12.0"),
]
# Around restarts, and around a store that fails some hosts: what stops, leaves
# or passes its address on meanwhile.
CHANGES = [
    ("roll_term", 'share = 1.0, gap_s = 0.8, how = "busy"'),
    ("release", "share = 0.8, x = 2.0, gap_s = 0.7"),
    ("replace_with_reuse", 'share = 0.3, how = "drain"'),
    ("scale_in", 'share = 0.3, how = "spot", x = 2.0'),
    ("herd_kill", 'share = 0.7, how = "power", for_s = 2.0'),
]
STORE_TROUBLES = [
    ("platform_down", 'share = 0.4, for_s = 9.0, how = "nodes many revoke meet drain"'),
    ("platform_compact", 'x = 5.0, for_s = 10.0, how = "drain"'),
    ("core_cut", 'count = 2, for_s = 6.0, how = "leader race"'),
    ("platform_lost", 'x = 0.5, for_s = 8.0, how = "late"'),
]
# A zone is emptied, comes back cold or loses power, while something else goes
# on; what is planned twice overlaps.
ZONES = [
    ("evacuate", 'for_s = 7.0, zone = "@z0"'),
    ("cold_return", 'for_s = 2.5, zone = "@z0"'),
    ("zone_loss", 'for_s = 4.0, zone = "@z0"'),
]
WITH_ZONES = [
    ("herd_kill", 'share = 0.8, how = "power", for_s = 2.0'),
    ("core_cut", 'count = 2, for_s = 6.0, how = "leader race"'),
    ("platform_down", 'for_s = 6.0, how = "silent"'),
    ("platform_down", 'share = 0.4, for_s = 9.0, how = "nodes many revoke meet"'),
    ("platform_compact", 'x = 5.0, for_s = 10.0, how = "drain"'),
    ("platform_lost", 'x = 0.5, for_s = 8.0, how = "late"'),
    ("config_storm", "for_s = 6.0, gap_s = 0.2"),
    ("roll_term", 'share = 1.0, gap_s = 0.8, how = "busy"'),
    ("node_cut", 'share = 0.35, for_s = 8.0, how = "meet"'),
    ("big_config", "count = 1400"),
    ("release", "share = 0.8, x = 4.0, gap_s = 0.7"),
    ("retry_abuse", "share = 0.4, x = 4.0, for_s = 8.0"),
    ("evacuate", 'for_s = 4.0, how = "warm"'),
]
# Aimed at the first of a site.
AIMED = [
    ("burst", 'x = 2.0, for_s = 6.0, class = "@c0"'),
    ("srv_grey", 'share = 0.5, x = 0.6, for_s = 8.0, how = "shed", service = "@s0"'),
    ("srv_slow", 'share = 0.5, x = 10.0, for_s = 8.0, service = "@s0"'),
    ("lossy", 'x = 0.05, for_s = 8.0, zone = "@z0"'),
    ("srv_crash", 'share = 0.5, for_s = 5.0, how = "dark", service = "@s0"'),
]
CLOSINGS = ['{ kind = "power_off_all", down_s = 1.5 }', '{ kind = "kill_all", down_s = 1.5 }']


def entry(kind, members, at):
    return f'  {{ at = {at}, kind = "{kind}", {members} }},'


def day(name, seed, entries, closing):
    plan = [line for kind, line in entries if kind in PLANNED]
    faults = [line for kind, line in entries if kind not in PLANNED]
    lines = [f'name = "{name}"', 'slot = "trouble"', f"seed = {seed}"]
    if closing:
        lines.append(f"closing = {closing}")
    lines += ["plan = [", *plan, "]", "faults = [", *faults, "]", ""]
    return "\n".join(lines)


def write_combined(folder):
    """One day for each pair of a restart or store trouble and a change, and the aimed ones."""
    days = []
    for first in RESTARTS + STORE_TROUBLES:
        for second in CHANGES:
            days.append((f"{first[0]}+{second[0]}", [(*first, 3.0), (*second, 4.5), (*first, 17.0), (*second, 18.5)]))
    for kind, members in AIMED:
        days.append((f"aimed-{kind}", [(kind, members, 4.0), (kind, members, 18.0)]))
    for zone in ZONES:
        for n, second in enumerate(WITH_ZONES):
            is_again = second[0] in [it[0] for it in WITH_ZONES[:n]]
            days.append((f"{zone[0]}+{second[0]}{'-2' if is_again else ''}",
                         [(*zone, 3.0), (*second, 4.0), (*zone, 16.0), (*second, 14.5)]))
    for n, (name, rows) in enumerate(days):
        entries = [(kind, entry(kind, members, at)) for kind, members, at in rows]
        (folder / f"{name}.toml").write_text(day(name, 7000 + n, entries, CLOSINGS[n % 2] if n % 3 == 0 else None))


def main():
    folder = ROOT / "deploy" / "days"
    folder.mkdir(parents=True, exist_ok=True)
    variants = [(kind, members) for kind, rows in KINDS.items() for members in rows]
    for n, (kind, members) in enumerate(variants):
        name = f"{kind}-{sum(1 for it in variants[:n] if it[0] == kind) + 1}"
        entries = [(kind, entry(kind, members, 4.0)), (kind, entry(kind, members, 18.0))]
        (folder / f"{name}.toml").write_text(day(name, 1000 + n, entries, None))
    write_combined(folder)
    draw = random.Random(20261202)
    for n in range(PAIRS):
        chosen = draw.sample(variants, 4)
        entries = [
            (kind, entry(kind, members, round(draw.uniform(2, 20), 1))) for kind, members in chosen
        ]
        name = f"mixed-{n + 1}"
        (folder / f"{name}.toml").write_text(day(name, 5000 + n, entries, CLOSINGS[n % 2]))


if __name__ == "__main__":
    main()
