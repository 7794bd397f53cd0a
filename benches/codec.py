"""Encoding time, decoding time and size of messages and log records."""

from __future__ import annotations

import timeit
from typing import TYPE_CHECKING, Any

from benches import report
from mangotally import ids
from mangotally.hosts import messages
from mangotally.policy import records

if TYPE_CHECKING:
    from mangotally.util import codec

ROUNDS = 20_000
_US_PER_S = 1_000_000
_ORGANISATION = ids.OrganisationId("escola-braga")


def main() -> None:
    """Prints the figures of some typical messages and records."""
    _measure(messages.registry, messages.TakeTokens(_ORGANISATION, 1))
    _measure(messages.registry, messages.TurnText("a few words"))
    _measure(
        records.registry,
        records.Heartbeat(
            ids.HostId("h1"),
            1_764_000_000_000,
            "10.0.0.1:19101",
            ids.FailureDomainId("porto"),
        ),
    )
    _measure(
        records.registry,
        records.TurnDone(
            organisation=_ORGANISATION,
            program=ids.new_program_id(),
            turn=1,
            attempt=ids.new_attempt_id(),
            digest="0" * 64,
            request=(records.ChatMessage("user", "x" * 500),),
            answer=records.ChatMessage("assistant", "y" * 1500),
            used_tokens=500,
        ),
    )


def _measure(registry: codec.Registry, message: Any) -> None:
    name, body = registry.encode(message)
    encode_s = timeit.timeit(lambda: registry.encode(message), number=ROUNDS)
    decode_s = timeit.timeit(lambda: registry.decode(name, body), number=ROUNDS)
    report.print_figure(f"{name}: encode", encode_s / ROUNDS * _US_PER_S, "us")
    report.print_figure(f"{name}: decode", decode_s / ROUNDS * _US_PER_S, "us")
    report.print_figure(f"{name}: size", len(body), "bytes")


if __name__ == "__main__":
    main()
