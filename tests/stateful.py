"""Settings of stateful tests.

A test module with state machines lists them in `MACHINES`; `make fuzz`
runs them longer, with other seeds.
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
