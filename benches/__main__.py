"""Runs all benchmarks, or those that are named as arguments."""

from __future__ import annotations

import importlib
import sys

NAMES = (
    "path",
    "tokens",
    "idle",
    "links",
    "codec",
    "memory",
    "members",
    "configuration",
    "history",
    "decisions",
)


def main() -> int:
    """Runs the benchmarks one after another; returns the exit code."""
    selected = sys.argv[1:] or list(NAMES)
    unknown = [name for name in selected if name not in NAMES]
    if unknown:
        print(f"unknown benchmark: {', '.join(unknown)}", file=sys.stderr)
        return 2
    for name in selected:
        print(f"# {name}", flush=True)
        importlib.import_module(f"benches.{name}").main()
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
