#!/usr/bin/env python3
"""Writes PACKAGE/chart_texts.{h,cc} from PACKAGE/charts/*.json.

Entry hosts have no disks, so the binary carries its charts. The written code
is committed; `embed_charts.py --check` fails where it differs from the files.
"""
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
NOTE = "// Written by misc/scripts/embed_charts.py; change charts/*.json instead.\n"


def function_name(chart):
    return "".join(it.capitalize() for it in chart.stem.split("_")) + "ChartText"


def header(package, charts):
    guard = f"{package.upper()}_CHART_TEXTS_H_"
    lines = [f"#ifndef {guard}\n#define {guard}\n\n", NOTE]
    lines.append("\n#include <string_view>\n\nnamespace damasktack {\n\n")
    for chart in charts:
        lines.append(f"// The content of {package}/charts/{chart.name}.\n")
        lines.append(f"std::string_view {function_name(chart)}();\n")
    lines.append(f"\n}}  // namespace damasktack\n\n#endif  // {guard}\n")
    return "".join(lines)


def source(package, charts):
    lines = [NOTE, f'\n#include "{package}/chart_texts.h"\n\n']
    lines.append("namespace damasktack {\n")
    for chart in charts:
        lines.append(f"\nstd::string_view {function_name(chart)}() {{\n")
        lines.append(f'  return R"chart({chart.read_text()})chart";\n}}\n')
    lines.append("\n}  // namespace damasktack\n")
    return "".join(lines)


def main():
    check = "--check" in sys.argv[1:]
    stale = []
    for folder in sorted(ROOT.glob("*/charts")):
        package = folder.parent.name
        charts = sorted(folder.glob("*.json"))
        for name, text in (("chart_texts.h", header(package, charts)),
                           ("chart_texts.cc", source(package, charts))):
            path = folder.parent / name
            if path.exists() and path.read_text() == text:
                continue
            stale.append(str(path.relative_to(ROOT)))
            if not check:
                path.write_text(text)
    if check and stale:
        sys.exit(f"{', '.join(stale)} out of date: run misc/scripts/embed_charts.py")


if __name__ == "__main__":
    main()
