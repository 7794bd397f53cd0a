"""Memory per object that a host stores."""

from __future__ import annotations

import gc
import tracemalloc
from typing import TYPE_CHECKING, Any

from benches import report
from mangotally import ids
from mangotally.policy import configuration, records, view
from mangotally.policy import ledger as ledger_lib
from mangotally.settings import lists

if TYPE_CHECKING:
    from collections.abc import Callable

SIZES = (500.0, 1000.0, 2000.0)
SMALL_SIZES = (50.0, 100.0, 200.0)
TURNS = 20
TEXT_CHARS = 2000


def main() -> None:
    """Prints bytes per object: the slope of the memory over three sizes."""
    for what, make, sizes in (
        ("member of the view", _make_view, SIZES),
        ("organisation and key", _make_configuration, SIZES),
        ("program without turns", _make_programs, SIZES),
        (
            f"program with {TURNS} turns of {TEXT_CHARS} characters",
            _make_programs_with_turns,
            SMALL_SIZES,
        ),
    ):
        points = [(size, _allocated_bytes(make, size)) for size in sizes]
        _, slope = report.fit_line(points)
        report.print_figure(what, slope, "bytes")


def _allocated_bytes(make: Callable[[float], Any], size: float) -> float:
    gc.collect()
    tracemalloc.start()
    objects = make(size)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del objects
    return float(used)


def _make_view(size: float) -> view.View:
    found = view.View()
    for number in range(int(size)):
        found.apply(
            records.Heartbeat(
                ids.HostId(f"host-{number}"),
                1_764_000_000_000,
                f"10.0.{number // 250}.{number % 250}:19101",
                ids.FailureDomainId(f"place-{number % 9}"),
            ),
            ids.Offset(number),
        )
    return found


def _make_configuration(size: float) -> configuration.Configuration:
    names = [f"organisation-{number}" for number in range(int(size))]
    plan = lists.Plan(name="plan", rate_per_s=1, burst=1, services=())
    found = configuration.Configuration()
    found.apply(
        records.ConfigurationVersion(
            version=1,
            predecessor=0,
            lists=lists.Lists(
                plans=lists.PlanList(
                    organisations=tuple(
                        lists.Organisation(id=name, plan="plan")
                        for name in names
                    )
                ),
                uses=lists.UseList(plans=(plan,), services=()),
            ),
        ),
        ids.Offset(0),
    )
    for number, name in enumerate(names):
        key = records.KeyGiven(
            ids.KeyId(f"key-{number}"),
            ids.OrganisationId(name),
            configuration.digest_key(name),
            read_to=ids.Offset(number + 1),
        )
        found.apply(key, ids.Offset(number + 1))
    return found


def _make_programs(size: float) -> ledger_lib.Ledger:
    return _make_ledger(size, turns=0)


def _make_programs_with_turns(size: float) -> ledger_lib.Ledger:
    return _make_ledger(size, TURNS)


def _make_ledger(size: float, turns: int) -> ledger_lib.Ledger:
    ledger = ledger_lib.Ledger()
    for _ in range(int(size)):
        program = ids.new_program_id()
        ledger.apply(
            records.ProgramOpened(
                ids.OrganisationId("organisation"),
                program,
                None,
                ids.ServiceId("service"),
                records.Budget(10**9, 1000, 10**9),
                10**12,
            ),
            ids.Offset(0),
        )
        for turn in range(1, turns + 1):
            for record in _turn(program, turn):
                if not ledger.apply(record, ids.Offset(turn)):
                    raise AssertionError("a record had no effect")
    return ledger


def _turn(program: ids.ProgramId, turn: int) -> list[Any]:
    organisation = ids.OrganisationId("organisation")
    attempt = ids.new_attempt_id()
    digest = f"{turn:064}"
    text = "x" * (TEXT_CHARS // 2)
    data = records.registry.encode_batch(
        [
            records.TurnBegun(organisation, program, turn, attempt, digest, 1),
            records.TurnDone(
                organisation=organisation,
                program=program,
                turn=turn,
                attempt=attempt,
                digest=digest,
                request=(records.ChatMessage("user", text),),
                answer=records.ChatMessage("assistant", text),
                used_tokens=1,
            ),
        ]
    )
    return [item.unwrap() for item in records.registry.decode_batch(data)]


if __name__ == "__main__":
    main()
