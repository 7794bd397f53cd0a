"""The platform's names of headers."""

from __future__ import annotations

from mangotally.entry import headers

NAMES = headers.HeaderNames(
    request_id="Request-Id",
    # At a target: what is left of it when the request is passed on.
    time_left="Deadline-Ms",
    program="Program-Id",
    # One value for each line of turns, not for a connection or a caller.
    session="Session-Id",
    program_time_left="Program-Deadline-Ms",
    # For all turns of the program together, not for this one.
    token_budget="Token-Budget",
    token_usage="Token-Usage",
    parent_turn="Parent-Turn",
    last_event="Last-Event-Id",
    expected_target="Expect-Instance",
    organisation="Tenant",
    target="Instance-Id",
    load="Server-Load",
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
