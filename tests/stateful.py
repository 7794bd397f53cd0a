"""Hypothesis settings of the stateful tests.

A test module lists its state machines in `MACHINES`; `make fuzz` runs them
with more examples and further seeds.
"""

from __future__ import annotations

import hypothesis

CI_SETTINGS = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=50,
    stateful_step_count=40,
    print_blob=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
