"""Records traces of the turns of programs whose home is this host."""

from __future__ import annotations

import contextlib
import logging
import re
from typing import TYPE_CHECKING, Any

import pydantic
from returns import result

from mangotally.homes import turns
from mangotally.hosts import messages
from mangotally.replay import recorder as recorder_lib
from mangotally.replay import trace
from mangotally.settings import lists as list_settings

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from mangotally import errors, ids
    from mangotally.engines import client as engine_client
    from mangotally.homes import configuration, pools
    from mangotally.homes import quarantine as live_quarantine
    from mangotally.homes import slots as slot_client
    from mangotally.policy import records
    from mangotally.roster import base as roster_base
    from mangotally.util import clock as clock_lib

logger = logging.getLogger(__name__)


class RecordingTurnRunner(turns.TurnRunner):
    """A turn runner that passes its turns to a trace recorder."""

    def __init__(
        self,
        slots: slot_client.SlotClient,
        engine: engine_client.EngineClient,
        quarantine: live_quarantine.LiveQuarantine,
        retry_share: float,
        clock: clock_lib.Clock,
        random: Callable[[], float],
        recorder: recorder_lib.Recorder,
    ) -> None:
        """Creates a `TurnRunner` that has a recorder."""
        super().__init__(slots, engine, quarantine, retry_share, clock, random)
        self._recorder = recorder
        self._recorder_clock = clock

    async def generate(
        self,
        message: messages.RunTurn,
        program: ids.ProgramId,
        prompt: list[records.ChatMessage],
        attained_tokens: int,
        permit: Callable[[], Awaitable[errors.Outcome[Any]]] | None = None,
    ) -> AsyncIterator[errors.Outcome[Any]]:
        """Runs a turn on a target of its pool and records its end."""
        started_ms = self._recorder_clock.now_ms()
        events = super().generate(
            message, program, prompt, attained_tokens, permit
        )
        async with contextlib.aclosing(events):  # type: ignore[type-var]
            async for event in events:
                match event:
                    case result.Success(messages.TurnEnd() as end):
                        self._recorder.record_turn(
                            recorder_lib.TurnRecord(
                                message.organisation,
                                program,
                                message.service,
                                started_ms,
                                self._recorder_clock.now_ms(),
                                end.prompt_tokens,
                                end.generated_tokens,
                            )
                        )
                yield event

    async def end_program(
        self,
        service: ids.ServiceId,
        program: ids.ProgramId,
        organisation: ids.OrganisationId | None = None,
    ) -> None:
        """Releases the prefixes of an ended program and records its end."""
        self._recorder.record_program_end(program)
        await super().end_program(service, program, organisation)


def make_header(
    service: ids.ServiceId,
    name: str,
    live: configuration.LiveConfiguration,
    pool_home: pools.PoolHome,
) -> trace.Header | None:
    """Returns the header of the trace of a service.

    Args:
        service: The service.
        name: Name of the trace.
        live: The configuration in force.
        pool_home: The home of the pools of this host.

    Returns:
        The header, or None while the lists or the targets are unknown.
    """
    lists = live.current.lists
    found = lists.service(service) if lists else None
    entries = pool_home.live_targets(service)
    if lists is None or found is None or not entries:
        return None
    safe_name = re.sub(r"[^a-z0-9]+", "-", name.lower()).strip("-") or "trace"
    safe_name = safe_name[: list_settings.MAX_NAME_LENGTH]
    try:
        return _make_header(
            service, safe_name, lists, found.worker_calls, entries
        )
    except pydantic.ValidationError as error:
        logger.warning(
            "trace_header_invalid",
            extra={"service": service, "errors": error.error_count()},
        )
        return None


def _make_header(
    service: ids.ServiceId,
    name: str,
    lists: list_settings.Lists,
    worker_calls: int,
    entries: list[roster_base.RosterEntry],
) -> trace.Header:
    return trace.Header(
        version=trace.VERSION,
        name=name,
        deployment=name,
        service=service,
        duration_ms=trace.MAX_DURATION_MS,
        workers=tuple(
            trace.Worker(id=entry.id, place=entry.place) for entry in entries
        ),
        worker_calls=worker_calls,
        organisations={
            item.id: item.plan for item in lists.plans.organisations
        },
        plans=lists.uses.plans,
    )
