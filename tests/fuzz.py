"""Runs the stateful tests with more examples and further seeds."""

from __future__ import annotations

import importlib
import pathlib
import sys
import time

import hypothesis
from hypothesis import stateful

ROUND_EXAMPLES = 200
ROUND_STEPS = 80
DEFAULT_ROUNDS = 5


def main() -> int:
    """Runs each state machine with each seed; returns the exit code."""
    rounds = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_ROUNDS
    failed = 0
    for machine in _find_machines():
        for seed in range(1, rounds + 1):
            failed += _run(machine, seed)
    print(f"{failed} failed")
    return 1 if failed else 0


def _run(machine: type[stateful.RuleBasedStateMachine], seed: int) -> int:
    settings = hypothesis.settings(
        database=None,
        deadline=None,
        max_examples=ROUND_EXAMPLES,
        stateful_step_count=ROUND_STEPS,
        print_blob=True,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    started_s = time.monotonic()
    name = f"{machine.__module__}.{machine.__name__} seed={seed}"
    seeded = hypothesis.seed(seed)(machine)
    try:
        stateful.run_state_machine_as_test(seeded, settings=settings)
    except Exception as error:  # reports any failure of a machine
        print(f"FAILED {name}: {error!r}", flush=True)
        return 1
    elapsed_s = time.monotonic() - started_s
    print(f"ok {name} {ROUND_EXAMPLES} runs in {elapsed_s:.1f} s", flush=True)
    return 0


def _find_machines() -> list[type[stateful.RuleBasedStateMachine]]:
    tests = pathlib.Path(__file__).resolve().parent
    found: list[type[stateful.RuleBasedStateMachine]] = []
    for path in sorted(tests.glob("test_*/test_*.py")):
        name = f"tests.{path.parent.name}.{path.stem}"
        found += getattr(importlib.import_module(name), "MACHINES", ())
    return found


if __name__ == "__main__":
    raise SystemExit(main())
