"""Names of the platform's HTTP headers."""

from __future__ import annotations

from mangotally.entry import headers

NAMES = headers.HeaderNames(
    request_id="Request-Id",
    # A target receives the time that is left when the request is forwarded.
    time_left="Deadline-Ms",
    program="Program-Id",
    # One value per chain of turns, not per connection or caller.
    session="Session-Id",
    program_time_left="Program-Deadline-Ms",
    # The budget of all turns of the program together, not of a single turn.
    token_budget="Token-Budget",
    token_usage="Token-Usage",
    length_hint="Length-Hint",
    parent_turn="Parent-Turn",
    last_event="Last-Event-Id",
    resumes="Resumes",
    expected_target="Expect-Instance",
    organisation="Tenant",
    target="Instance-Id",
    load="Server-Load",
    limit="Server-Limit",
    leaving="Server-Leaving",
    not_run="Not-Executed",
    stamp="Server-Stamp",
    internal=frozenset(
        {
            "tenant",
            "expect-instance",
            "hold",
            "pin-ms",
            "kv-backup",
            "kv-from",
            "kv-fetch",
            "not-executed",
        }
    ),
)
