#!/usr/bin/env python3
"""Turns the CSV of bench/decision_bench into tables and plots.

Usage: plot_decisions.py docs/measurements/decisions.csv docs/measurements
Writes decisions.md and one SVG for each place of the loads suite.
"""
import csv
import pathlib
import sys

CLASSES = ("urgent", "normal", "bulk")
COLOURS = ("#0b6e4f", "#8a8a8a", "#c1292e", "#e08e45", "#3d5a98", "#7d4e8a")
WIDTH, HEIGHT, MARGIN = 560, 320, 50
PICKERS = ("sampling", "naive", "random", "round-robin", "least-own",
           "two-choices")
HIGHEST_MS = 200


def read(path):
    with open(path, newline="") as file:
        return list(csv.DictReader(file))


def unique(rows, key):
    return list(dict.fromkeys(row[key] for row in rows))


def table(heads, lines):
    text = ["| " + " | ".join(heads) + " |", "|" + "---|" * len(heads)]
    text += ["| " + " | ".join(str(it) for it in line) + " |" for line in lines]
    return "\n".join(text) + "\n"


def quantiles(row):
    return f"{row['p50_ms']} / {row['p99_ms']} / {row['p999_ms']}"


def not_answered(row):
    lost = int(row["refused"]) + int(row["failed"])
    return f"{100 * lost / max(int(row['calls']), 1):.2f}"


def by_class(rows, keys):
    """One line for each run; the classes side by side."""
    runs = {}
    for row in rows:
        runs.setdefault(tuple(row[key] for key in keys), {})[row["class"]] = row
    for run, classes in runs.items():
        yield run, [classes[it] for it in CLASSES]


def class_table(rows, keys, heads, extra=(), extra_heads=()):
    lines = []
    for run, classes in by_class(rows, keys):
        line = list(run)
        for it in classes:
            line += [quantiles(it), not_answered(it)]
        lines.append(line + [classes[0][key] for key in extra])
    columns = list(heads)
    for it in CLASSES:
        columns += [f"{it} ms", f"{it} lost %"]
    return table(columns + list(extra_heads), lines)


def to_x(load):
    return MARGIN + (load - 50) / 60 * (WIDTH - 2 * MARGIN)


def to_y(value):
    return HEIGHT - MARGIN - min(value, HIGHEST_MS) / HIGHEST_MS * (
        HEIGHT - 2 * MARGIN)


def plot(rows, place):
    """p99 of normal calls by load, one line for each picker."""
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
             f'height="{HEIGHT}" font-family="sans-serif" font-size="11">',
             '<rect width="100%" height="100%" fill="white"/>',
             f'<text x="{MARGIN}" y="20">{place}: p99 of normal calls in ms, '
             f'by load in % of the slots (cut at {HIGHEST_MS})</text>']
    for value in range(0, HIGHEST_MS + 1, 50):
        parts.append(f'<line x1="{MARGIN}" x2="{WIDTH - MARGIN}" '
                     f'y1="{to_y(value):.0f}" y2="{to_y(value):.0f}" '
                     'stroke="#ddd"/>')
        parts.append(f'<text x="15" y="{to_y(value) + 4:.0f}">{value}</text>')
    for load in (50, 70, 85, 95, 110):
        parts.append(f'<text x="{to_x(load) - 8:.0f}" '
                     f'y="{HEIGHT - MARGIN + 18}">{load}</text>')
    for picker, colour in zip(PICKERS, COLOURS):
        points = [(to_x(float(row["load_percent"])), to_y(float(row["p99_ms"])))
                  for row in rows
                  if row["picker"] == picker and row["class"] == "normal"]
        path = " ".join(f"{x:.1f},{y:.1f}" for x, y in points)
        parts.append(f'<polyline points="{path}" fill="none" '
                     f'stroke="{colour}" stroke-width="2"/>')
    for n, (picker, colour) in enumerate(zip(PICKERS, COLOURS)):
        x = MARGIN + n * 82
        parts.append(f'<text x="{x}" y="{HEIGHT - 8}" fill="{colour}">'
                     f'{picker}</text>')
    return "\n".join(parts + ["</svg>", ""])


def page(rows):
    steady = [row for row in rows if row["scenario"] == "steady"]
    probes = [row for row in rows if row["scenario"].startswith("probes-")]
    others = [row for row in rows
              if row["scenario"] != "steady" and row not in probes]
    text = ["# Choice of endpoint\n",
            "Written by misc/scripts/plot_decisions.py from decisions.csv, which "
            "`build/bench/decision_bench`\nprints; see "
            "docs/notes/choice-of-endpoint.md for what it simulates. Times are "
            "p50 / p99 / p99.9\nfrom arrival at the host to the answer, of the "
            "calls that were answered; lost are the refused\nand the failed, "
            "which the bench does not retry.\n",
            "## By load\n"]
    for place in unique(steady, "service"):
        mine = [row for row in steady if row["service"] == place]
        text.append(f"### {place}\n\n![p99 by load](decisions-{place}.svg)\n")
        text.append(class_table(mine, ("picker", "load_percent"),
                                ("picker", "load %")))
    text.append("## Old reports and faults, at 85%\n")
    for place in unique(others, "service"):
        mine = [row for row in others if row["service"] == place]
        text.append(f"### {place}\n")
        text.append(class_table(
            mine, ("scenario", "picker"), ("scenario", "picker"),
            ("to_faulty", "late_to_faulty"),
            ("part of sends to the faulty one", "sends to it after 500 ms")))
    text.append("## Probes, at 85%\n")
    text.append(class_table(probes, ("service", "scenario"),
                            ("service", "probes"), ("probes_per_1000",),
                            ("probes for 1,000 calls",)))
    return "\n".join(text)


def main():
    if len(sys.argv) != 3:
        sys.exit(__doc__)
    rows = read(sys.argv[1])
    folder = pathlib.Path(sys.argv[2])
    (folder / "decisions.md").write_text(page(rows))
    steady = [row for row in rows if row["scenario"] == "steady"]
    for place in unique(steady, "service"):
        mine = [row for row in steady if row["service"] == place]
        (folder / f"decisions-{place}.svg").write_text(plot(mine, place))


if __name__ == "__main__":
    main()
