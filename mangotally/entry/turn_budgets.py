"""Reserves tokens of a program's budget for its turns."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mangotally.entry import answers, budgets

if TYPE_CHECKING:
    from mangotally import ids
    from mangotally.entry import access as access_lib
    from mangotally.entry import request_state, requests
    from mangotally.util import clock as clock_lib


class TurnBudgets:
    """Reserves tokens for turns, and more of them while a turn runs."""

    def __init__(
        self, client: budgets.BudgetClient, clock: clock_lib.Clock
    ) -> None:
        """Initialises the reservations.

        Args:
            client: Reserves tokens at the home of a program.
            clock: Clock for deadlines.
        """
        self._client = client
        self._clock = clock

    async def reserve(
        self,
        received: requests.CallerRequest,
        access: access_lib.Access,
        state: request_state.RequestState,
    ) -> budgets.TurnReservation | answers.Refusal:
        """Reserves tokens for a turn.

        Args:
            received: The turn.
            access: What it may access.
            state: Its state; the limit of its events is set here.

        Returns:
            The reservation, or the refusal.
        """
        until_ms = received.arrived_ms + access.route.objective_ms
        until_ms = min(until_ms, state.deadline_ms)
        may_be_provisional = not access.route.is_retained
        result = await self._request_tokens(
            received,
            access,
            received.max_tokens,
            until_ms,
            may_be_provisional=may_be_provisional,
        )
        if isinstance(result, budgets.Reservation):
            return self._make_turn_reservation(received, access, state, result)
        if result.is_spent:
            return answers.Refusal(
                answers.Cause.BUDGET_SPENT,
                f"granted {result.granted} of {received.token_budget}, "
                f"turn {received.max_tokens}",
            )
        return answers.Refusal(
            answers.Cause.BUDGET_UNKNOWN, retry_after_ms=answers.STORE_RETRY_MS
        )

    async def _request_tokens(
        self,
        received: requests.CallerRequest,
        access: access_lib.Access,
        tokens: int,
        until_ms: float,
        may_be_provisional: bool,
    ) -> budgets.Reservation | budgets.Denial:
        assert received.program is not None
        assert received.token_budget is not None
        program = budgets.program_key(access.organisation_id, received.program)
        return await self._client.reserve(
            program, received.token_budget, tokens, until_ms, may_be_provisional
        )

    def _make_turn_reservation(
        self,
        received: requests.CallerRequest,
        access: access_lib.Access,
        state: request_state.RequestState,
        first: budgets.Reservation,
    ) -> budgets.TurnReservation:
        """Returns the reservation of a turn.

        If it holds fewer tokens than the turn may generate, the stream waits
        for more tokens once these are used up.
        """

        async def reserve(
            tokens: int,
        ) -> budgets.Reservation | budgets.Denial:
            return await self._request_tokens(
                received,
                access,
                tokens,
                state.deadline_ms,
                may_be_provisional=False,
            )

        async def extend() -> bool:
            is_extended = await reservation.extend(state.deadline_ms)
            state.event_limit = reservation.tokens // per_event
            return is_extended

        per_event = event_tokens(access, state.service)
        reservation = budgets.TurnReservation(
            first, received.max_tokens, reserve, self._clock
        )
        if not reservation.is_fully_reserved:
            state.event_limit = reservation.tokens // per_event
            state.raise_event_limit = extend
        return reservation


def event_tokens(access: access_lib.Access, service: ids.ServiceId) -> int:
    """Returns the number of tokens that each event of a service counts."""
    configured = access.configuration.services.get(service)
    engine = configured.engine if configured else None
    return engine.tokens_per_event if engine else 1
