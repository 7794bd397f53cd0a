"""Admission of calls at the host that they reach."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from returns import result

from mangotally import errors, ids
from mangotally.homes import organisations
from mangotally.hosts import messages
from mangotally.policy import homes
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from mangotally.homes import membership
    from mangotally.hosts import peers as peers_lib

logger = logging.getLogger(__name__)

GRANT_MS = 1000
RETRY_MS = 50
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
        self._hold_ms = organisations.hold_ms(lease_ms)
        self._asked: dict[asyncio.Timeout, tuple[str, ids.HostId | None]] = {}
        members.on_change(self._on_change)

    async def take(
        self, organisation: ids.OrganisationId
    ) -> errors.Outcome[None]:
        """Admits one call, which has to run at once.

        A call within the rate is held while the organisation's home
        changes. Nothing has run if it is refused.
        """
        limit_ms = self._clock.now_ms() + self._hold_ms
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
                    retry_after_ms=organisations.HOLD_EXTRA_MS,
                )
            await asyncio.sleep(clock_lib.to_seconds(RETRY_MS))

    async def _ask(
        self, organisation: ids.OrganisationId, limit_ms: float
    ) -> errors.Outcome[messages.TokensTaken] | None:
        sent_ms = self._clock.now_ms()
        key = homes.organisation_key(organisation)
        home = self._members.home_of(key)
        timeout_ms = max(RETRY_MS, limit_ms - sent_ms)
        message = messages.TakeTokens(organisation, 1)
        try:
            async with asyncio.timeout(None) as scope:
                self._asked[scope] = (key, home)
                outcome = await self._peers.call(home, message, timeout_ms)
        except TimeoutError:
            return None
        finally:
            self._asked.pop(scope, None)
        match outcome:
            case result.Success(messages.TokensTaken(held_ms)):
                late_ms = self._clock.now_ms() - sent_ms - held_ms
                if late_ms > GRANT_MS:
                    logger.warning("grant_late", extra={"late_ms": late_ms})
                    return None
        return outcome

    def _on_change(self) -> None:
        """Ends the questions to hosts that are no longer homes."""
        now_s = asyncio.get_running_loop().time()
        for scope, (key, home) in list(self._asked.items()):
            if self._members.home_of(key) != home:
                scope.reschedule(now_s)
