#!/usr/bin/env python3
"""Fails where a folder includes a folder above it, or knows names that are not its own.

The order is the one in docs/DESIGN.md. Run from anywhere inside the checkout.
"""

import pathlib
import re
import sys

LAYERS = ["wire", "core", "contract", "policy", "fleet", "platform", "proxy", "admin", "main"]
# The stand-ins are tools for tests, the demo and the bench, over all layers:
# nothing of the product includes them.
TOOLS = ["standin"]
INCLUDE = re.compile(r'^#include "([a-z_]+)/')
# Headers, keys, fields and paths of the users' platform. Only its adapter may
# know them, and beside it the stand-in that takes its place in tests.
PLATFORM_NAMES = re.compile(
    r"X-Damasktack|kv-(key|range|watch)|resource_type|op/config|allow_stale|target_latency_ms"
)
KNOWS_PLATFORM = ["platform/"]


def allowed(layer):
    if layer in TOOLS:
        return set(LAYERS) | {layer}
    return set(LAYERS[: LAYERS.index(layer) + 1])


def faults(root):
    for layer in LAYERS + TOOLS:
        for path in sorted((root / layer).rglob("*")):
            if path.suffix not in (".h", ".cc"):
                continue
            for number, line in enumerate(path.read_text().splitlines(), start=1):
                found = INCLUDE.match(line)
                if found and found.group(1) not in allowed(layer):
                    yield f"{path.relative_to(root)}:{number}: {layer} must not include {found.group(1)}"


def strange_names(root):
    for layer in LAYERS + TOOLS:
        for path in sorted((root / layer).rglob("*")):
            name = str(path.relative_to(root))
            if path.suffix not in (".h", ".cc") or name.startswith(tuple(KNOWS_PLATFORM)):
                continue
            for number, line in enumerate(path.read_text().splitlines(), start=1):
                if PLATFORM_NAMES.search(line):
                    yield f"{name}:{number}: a name of the platform; it belongs in platform/"


def main():
    root = pathlib.Path(__file__).resolve().parents[2]
    found = list(faults(root)) + list(strange_names(root))
    print("\n".join(found) if found else "layers are clean")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
