"""Runs all benches, or those that the arguments name."""

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
    """Runs the benches one after the other; returns the exit code."""
    wanted = sys.argv[1:] or list(NAMES)
    unknown = [name for name in wanted if name not in NAMES]
    if unknown:
        print(f"no such bench: {', '.join(unknown)}", file=sys.stderr)
        return 2
    for name in wanted:
        print(f"# {name}", flush=True)
        importlib.import_module(f"benches.{name}").main()
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
