#!/usr/bin/env python3
"""Writes the generated pages anew: both manuals and the table of settings.

Run after a change of commands or settings, with a build folder as argument.
"""

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
FIRST_ROW = "| key | unit | default | range | meaning |"


def main():
    build = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else ROOT / "build")

    def ctl(*args):
        command = [build / "main" / "damasktackctl", *args]
        return subprocess.run(command, capture_output=True, text=True, check=True).stdout

    (ROOT / "docs/man/damasktackctl.1").write_text(ctl("help", "--man"))
    (ROOT / "docs/man/damasktack.8").write_text(ctl("help", "--man-daemon"))
    page = ROOT / "docs/SETTINGS.md"
    text = page.read_text()
    start = text.index(FIRST_ROW)
    end = start + len(text[start:].split("\n\n", 1)[0])
    rest = text[end:].lstrip("\n")
    page.write_text(text[:start] + ctl("settings", "describe") + ("\n" + rest if rest else ""))


if __name__ == "__main__":
    main()
