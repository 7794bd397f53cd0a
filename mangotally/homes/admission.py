"""Admission of calls at the host that they reach."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

from returns import result

from mangotally import errors, ids
from mangotally.homes import organisations
from mangotally.hosts import messages
from mangotally.policy import prefetched_tokens, rendezvous
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from mangotally.homes import membership
    from mangotally.hosts import peers as peers_lib

logger = logging.getLogger(__name__)

MAX_ADMISSION_DELAY_MS = 1000
RETRY_INTERVAL_MS = 50
BATCH_RETURN_MS = prefetched_tokens.BATCH_LIFETIME_MS * 0.7
_TRY_AGAIN = (errors.Reason.MOVED, errors.Reason.UNAVAILABLE)


class Admission:
    """Asks organisations' homes, through changes of home if need be."""

    def __init__(
        self,
        members: membership.Membership,
        peers: peers_lib.Peers,
        clock: clock_lib.Clock,
        lease_ms: float,
    ) -> None:
        """Makes the admission of one host."""
        self._members = members
        self._peers = peers
        self._clock = clock
        self._hold_ms = organisations.max_hold_ms(lease_ms)
        self._asked: dict[asyncio.Timeout, tuple[str, ids.HostId | None]] = {}
        self._allowances: dict[
            ids.OrganisationId, prefetched_tokens.PrefetchedTokens
        ] = {}
        self._sending: set[asyncio.Future[errors.Outcome[Any]]] = set()
        members.on_change(self._on_change)

    async def admit(
        self, organisation: ids.OrganisationId
    ) -> errors.Outcome[None]:
        """Admits one call, which has to run at once.

        A call within the rate is held while the organisation's home
        changes. Nothing has run if it is refused.
        """
        now_ms = self._clock.now_ms()
        if self._allowance(organisation).take(now_ms):
            return result.Success(None)
        limit_ms = now_ms + self._hold_ms
        while True:
            outcome = await self._ask(organisation, limit_ms)
            if outcome is None:
                continue
            if isinstance(outcome, result.Success):
                return result.Success(None)
            failure = outcome.failure()
            if failure.reason not in _TRY_AGAIN:
                return result.Failure(failure)
            if self._clock.now_ms() >= limit_ms:
                return errors.failed(
                    errors.Reason.UNAVAILABLE,
                    "Rates cannot be checked now.",
                    retry_after_ms=organisations.EXTRA_HOLD_MS,
                )
            await asyncio.sleep(clock_lib.to_seconds(RETRY_INTERVAL_MS))

    async def _ask(
        self, organisation: ids.OrganisationId, limit_ms: float
    ) -> errors.Outcome[messages.TokensTaken] | None:
        sent_ms = self._clock.now_ms()
        key = rendezvous.organisation_key(organisation)
        home = self._members.home_of(key)
        timeout_ms = max(RETRY_INTERVAL_MS, limit_ms - sent_ms)
        allowed = self._allowance(organisation)
        message = messages.TakeTokens(
            organisation, 1, allowed.desired_tokens(), allowed.release()
        )
        try:
            async with asyncio.timeout(None) as scope:
                self._asked[scope] = (key, home)
                outcome = await self._peers.call(home, message, timeout_ms)
        except TimeoutError:
            return None
        finally:
            self._asked.pop(scope, None)
        match outcome:
            case result.Success(messages.TokensTaken() as taken):
                late_ms = self._clock.now_ms() - sent_ms - taken.held_ms
                if late_ms > MAX_ADMISSION_DELAY_MS:
                    logger.warning("grant_late", extra={"late_ms": late_ms})
                    return None
                self._receive(organisation, taken, sent_ms)
        return outcome

    def _receive(
        self,
        organisation: ids.OrganisationId,
        taken: messages.TokensTaken,
        sent_ms: float,
    ) -> None:
        if not taken.batch_tokens:
            return
        allowed = self._allowance(organisation)
        other = allowed.release()
        if other is not None:
            self._send_back(organisation, other)
        allowed.receive(taken.batch, taken.batch_tokens, sent_ms)
        asyncio.get_running_loop().call_later(
            clock_lib.to_seconds(BATCH_RETURN_MS),
            self._return,
            organisation,
            taken,
        )

    def _return(
        self, organisation: ids.OrganisationId, taken: messages.TokensTaken
    ) -> None:
        """Gives a batch back before it is void, if it is still in use."""
        allowed = self._allowances.get(organisation)
        if allowed is None or allowed.number != taken.batch:
            return
        returned = allowed.release()
        if returned is not None:
            self._send_back(organisation, returned)

    def _send_back(
        self,
        organisation: ids.OrganisationId,
        returned: prefetched_tokens.Returned,
    ) -> None:
        home = self._members.home_of(rendezvous.organisation_key(organisation))
        message = messages.ReturnTokens(organisation, returned)
        task = asyncio.ensure_future(self._peers.call(home, message))
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)

    def _allowance(
        self, organisation: ids.OrganisationId
    ) -> prefetched_tokens.PrefetchedTokens:
        found = self._allowances.get(organisation)
        if found is None:
            found = prefetched_tokens.PrefetchedTokens()
            self._allowances[organisation] = found
        return found

    def _on_change(self) -> None:
        """Ends the questions to hosts that are no longer homes."""
        now_s = asyncio.get_running_loop().time()
        now_ms = self._clock.now_ms()
        for name, allowed in list(self._allowances.items()):
            if allowed.is_idle(now_ms):
                del self._allowances[name]
        for scope, (key, home) in list(self._asked.items()):
            if self._members.home_of(key) != home:
                scope.reschedule(now_s)
