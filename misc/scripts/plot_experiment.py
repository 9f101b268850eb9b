#!/usr/bin/env python3
"""Draws the CSV of bench/load_experiment_bench: worth by scenario and policy.

One group of bars for each scenario, one bar for each policy with its standard
error over the seeds. Several files may be given; the policies of each are then
named after it, so that two states of the code stand side by side.

Usage: plot_experiment.py OUT.svg [NAME=]FILE.csv...
"""
import csv
import pathlib
import statistics
import sys

COLOURS = ("#8a8a8a", "#0b6e4f", "#c1292e", "#3d5a98", "#e08e45", "#7d4e8a")
BAR, GAP, HEIGHT, MARGIN, LEGEND = 14, 18, 260, 46, 150


def read(arguments):
    """Worth of each play by scenario and label."""
    worths = {}
    for argument in arguments:
        name, _, path = argument.rpartition("=")
        with open(path, newline="") as file:
            for row in csv.DictReader(file):
                label = f"{name} {row['policy']}".strip()
                of_scenario = worths.setdefault(row["scenario"], {})
                of_scenario.setdefault(label, []).append(float(row["worth"]))
    return worths


def error_of(values):
    if len(values) < 2:
        return 0.0
    return statistics.stdev(values) / len(values) ** 0.5


def text(x, y, words, more=""):
    return f'<text x="{x}" y="{y}" {more}>{words}</text>'


def bar(x, values, colour):
    mean = statistics.mean(values)
    top = MARGIN + HEIGHT * (1 - mean)
    error = HEIGHT * error_of(values)
    middle = x + BAR / 2
    return [
        f'<rect x="{x}" y="{top:.1f}" width="{BAR}" height="{HEIGHT * mean:.1f}" fill="{colour}"/>',
        f'<line x1="{middle}" x2="{middle}" y1="{top - error:.1f}" y2="{top + error:.1f}" stroke="#000"/>',
    ]


def draw(worths):
    labels = list(dict.fromkeys(it for group in worths.values() for it in group))
    width = 2 * MARGIN + len(worths) * (len(labels) * BAR + GAP) + LEGEND
    lines = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{HEIGHT + 3 * MARGIN}" '
             'font-family="sans-serif" font-size="11">']
    for part in (0, 0.25, 0.5, 0.75, 1):
        y = MARGIN + HEIGHT * (1 - part)
        lines.append(f'<line x1="{MARGIN}" x2="{width - LEGEND}" y1="{y}" y2="{y}" stroke="#ddd"/>')
        lines.append(text(8, y + 4, part))
    x = MARGIN + GAP
    for scenario, group in worths.items():
        for n, label in enumerate(labels):
            if label in group:
                lines += bar(x + n * BAR, group[label], COLOURS[n % len(COLOURS)])
        y = MARGIN + HEIGHT + 14
        lines.append(text(x, y, scenario, f'transform="rotate(30 {x} {y})"'))
        x += len(labels) * BAR + GAP
    for n, label in enumerate(labels):
        y = MARGIN + 18 * n
        lines.append(f'<rect x="{width - LEGEND + 8}" y="{y}" width="12" height="12" fill="{COLOURS[n % len(COLOURS)]}"/>')
        lines.append(text(width - LEGEND + 26, y + 10, label))
    lines.append(text(MARGIN, 20, "worth of calls: on time 1, late 0.1; bars: standard error over seeds"))
    return "\n".join([*lines, "</svg>", ""])


def main():
    if len(sys.argv) < 3:
        sys.exit(__doc__)
    pathlib.Path(sys.argv[1]).write_text(draw(read(sys.argv[2:])))


if __name__ == "__main__":
    main()
