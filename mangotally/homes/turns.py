"""Turns on model engines: a slot from the pool, then the engine's answer."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

from returns import result

from mangotally import errors, ids
from mangotally.engines import client as engine_client
from mangotally.hosts import messages
from mangotally.policy import homes, pools, programs, records

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable

    from mangotally.homes import membership
    from mangotally.hosts import peers as peers_lib

CHARS_PER_TOKEN = 4


def estimate_tokens(prompt: list[records.ChatMessage]) -> int:
    """Returns the estimated length of messages in tokens."""
    return sum(1 + len(item.content) // CHARS_PER_TOKEN for item in prompt)


class TurnRunner:
    """Runs turns on targets; knows nothing of their history."""

    def __init__(
        self,
        members: membership.Membership,
        peers: peers_lib.Peers,
        engine: engine_client.EngineClient,
    ) -> None:
        """Makes a runner."""
        self._members = members
        self._peers = peers
        self._engine = engine

    async def generate(
        self,
        message: messages.RunTurn,
        program: ids.ProgramId,
        prompt: list[records.ChatMessage],
        attained_tokens: int,
        permit: Awaitable[errors.Outcome[None]] | None = None,
    ) -> AsyncIterator[errors.Outcome[Any]]:
        """Runs a turn on a target of its pool.

        Args:
            message: The turn.
            program: The program that the prompt belongs to.
            prompt: The whole conversation.
            attained_tokens: Service that the program has received so far.
            permit: Awaited once there is a slot and before any byte goes
                to the target; a failure ends the turn there.

        Yields:
            `TurnText` pieces and a `TurnEnd`, or a failure at the end.
        """
        call = pools.PoolCall(
            call=ids.new_call_id(),
            organisation=message.organisation,
            program=program,
            turn=message.turn,
            prompt_tokens=estimate_tokens(prompt),
            max_tokens=message.max_tokens,
            attained_tokens=attained_tokens,
            share=message.share,
            deadline_ms=float(message.timeout_ms),
            digest=programs.digest_messages(message.service, prompt),
        )
        home = self._members.home_of(homes.pool_key(message.service))
        granted = await self._peers.call(
            home,
            messages.AcquireSlot(message.service, call),
            message.timeout_ms,
        )
        if isinstance(granted, result.Failure):
            yield granted
            return
        slot = granted.unwrap()
        report = pools.CallReport(call.call, pools.CallEnd.FAILED)
        request = engine_client.ChatRequest(
            call.call,
            program,
            message.service,
            tuple(prompt),
            message.max_tokens,
        )
        try:
            allowed = await permit if permit is not None else None
            if isinstance(allowed, result.Failure):
                yield allowed
                return
            events = self._engine.chat(slot.address, request)
            async with contextlib.aclosing(events):  # type: ignore[type-var]
                async for event in events:
                    match event:
                        case result.Success(engine_client.ChatText(text)):
                            yield result.Success(messages.TurnText(text))
                        case result.Success(engine_client.ChatEnd() as end):
                            report = pools.CallReport(
                                call.call,
                                pools.CallEnd.DONE,
                                end.cached_tokens,
                                end.generated_tokens,
                            )
                            yield result.Success(
                                messages.TurnEnd(
                                    end.prompt_tokens,
                                    end.cached_tokens,
                                    end.generated_tokens,
                                    slot.target,
                                    replayed=False,
                                )
                            )
                        case _:
                            yield event
        finally:
            await asyncio.shield(
                self._peers.call(
                    home, messages.ReleaseSlot(message.service, report)
                )
            )

    async def end_program(
        self, service: ids.ServiceId, program: ids.ProgramId
    ) -> None:
        """Has a gone program's cached prefixes released."""
        home = self._members.home_of(homes.pool_key(service))
        await self._peers.call(home, messages.EndProgram(service, program))
