#!/usr/bin/env python3
"""Plays standard days of deployments with several seeds and sums up their worth.

Prints mean and standard error by day and by site, and writes one line for each
play to a CSV file. Two such files, played with the same seeds, are compared
play by play: the days' own luck then falls out of the difference.

  misc/scripts/measure_days.py play --bench FLEETBENCH --why TEXT --out A.csv SITE...
  misc/scripts/measure_days.py compare A.csv B.csv
"""

import argparse
import concurrent.futures
import csv
import json
import pathlib
import statistics
import subprocess
import sys
import tempfile
import tomllib

COLUMNS = ["site", "day", "seed", "worth", "served", "refused", "failed",
           "windows", "prices", "broken"]


def day_names(site, wanted):
    """Names of the site's standard days, or of those asked for."""
    days = [it["name"] for it in tomllib.loads(site.read_text())["day"]]
    return [it for it in days if not wanted or it in wanted]


def read_report(path):
    report = json.loads(path.read_text())
    windows = [it[2] for it in report["parts"] if it[0] == "worst windows"]
    return {
        "worth": report["G"],
        "served": report["served"],
        "refused": report["refused"],
        "failed": report["failed"],
        "windows": windows[0] if windows else "",
        "prices": round(sum(it[2] or 0 for it in report["prices"]), 4),
        "broken": " ".join(report["breaks"]) or (report["fault"] or ""),
    }


def play(args, site, day, seed):
    """One day in full; an empty result where the bench gave none."""
    with tempfile.TemporaryDirectory() as folder:
        out = pathlib.Path(folder) / "report.json"
        command = [args.bench, "run", str(site), day, "--report", str(out),
                   "--why", args.why]
        if seed:
            command += ["--seed", str(seed)]
        if args.no_cpu:
            command.append("--no-cpu")
        done = subprocess.run(command, capture_output=True, text=True)
        row = {"site": site.stem, "day": day, "seed": seed}
        if not out.exists():
            print(f"{site.stem} {day} seed {seed}: not played: "
                  f"{(done.stdout + done.stderr).strip()[-200:]}", file=sys.stderr)
            return None
        return row | read_report(out)


def error_of(values):
    """Standard error of the mean; 0 for a single value."""
    if len(values) < 2:
        return 0.0
    return statistics.stdev(values) / len(values) ** 0.5


def groups(rows):
    """Rows by site and day, then by site over its days that are not quiet."""
    by_key = {}
    for it in rows:
        by_key.setdefault((it["site"], it["day"]), []).append(it)
        if not it["day"].startswith("quiet"):
            by_key.setdefault((it["site"], "~ with trouble"), []).append(it)
    return sorted(by_key.items())


def summarise(rows):
    print(f"{'site':22} {'day':15} {'n':>3} {'worth':>7} {'+-':>6} {'served':>7} "
          f"{'refused':>7} {'failed':>7} {'windows':>7} {'prices':>7}")
    for (site, day), plays in groups(rows):
        def mean(name):
            return statistics.mean(float(it[name] or 0) for it in plays)
        worths = [float(it["worth"]) for it in plays]
        print(f"{site:22} {day:15} {len(plays):3} {mean('worth'):7.4f} "
              f"{error_of(worths):6.4f} {mean('served'):7.4f} {mean('refused'):7.4f} "
              f"{mean('failed'):7.4f} {mean('windows'):7.4f} {mean('prices'):7.4f}")
    for it in rows:
        if it["broken"]:
            print(f"broken: {it['site']} {it['day']} seed {it['seed']}: {it['broken']}")


def run_play(args):
    subprocess.run([args.bench, "build"], check=True, stdout=subprocess.DEVNULL)
    plays = [(site, day, seed) for site in args.sites
             for day in day_names(site, args.days) for seed in args.seeds]
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        rows = list(pool.map(lambda it: play(args, *it), plays))
    rows = [it for it in rows if it]
    with open(args.out, "w", newline="") as file:
        writer = csv.DictWriter(file, COLUMNS)
        writer.writeheader()
        writer.writerows(rows)
    summarise(rows)


def read_rows(path):
    with open(path, newline="") as file:
        return list(csv.DictReader(file))


def run_compare(args):
    before = {(it["site"], it["day"], it["seed"]): it for it in read_rows(args.before)}
    pairs = []
    for it in read_rows(args.after):
        other = before.get((it["site"], it["day"], it["seed"]))
        if other:
            pairs.append({"site": it["site"], "day": it["day"],
                          "change": float(it["worth"]) - float(other["worth"]),
                          "served": float(it["served"]) - float(other["served"])})
    print(f"{'site':22} {'day':15} {'n':>3} {'worth':>8} {'+-':>6} {'served':>8} {'+-':>6}")
    for (site, day), plays in groups(pairs):
        changes = [it["change"] for it in plays]
        served = [it["served"] for it in plays]
        print(f"{site:22} {day:15} {len(plays):3} {statistics.mean(changes):+8.4f} "
              f"{error_of(changes):6.4f} {statistics.mean(served):+8.4f} "
              f"{error_of(served):6.4f}")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    verbs = parser.add_subparsers(required=True)
    verb = verbs.add_parser("play")
    verb.add_argument("--bench", required=True, type=lambda it: str(pathlib.Path(it).resolve()))
    verb.add_argument("--why", required=True, help="a line for the journal")
    verb.add_argument("--out", required=True)
    verb.add_argument("--seeds", type=int, nargs="+", default=[0], help="0: the day's own")
    verb.add_argument("--days", nargs="+", default=[])
    verb.add_argument("--jobs", type=int, default=4)
    verb.add_argument("--no-cpu", action="store_true", help="processor time isn't counted")
    verb.add_argument("sites", nargs="+", type=lambda it: pathlib.Path(it).resolve())
    verb.set_defaults(run=run_play)
    verb = verbs.add_parser("compare")
    verb.add_argument("before")
    verb.add_argument("after")
    verb.set_defaults(run=run_compare)
    args = parser.parse_args()
    args.run(args)


if __name__ == "__main__":
    main()
