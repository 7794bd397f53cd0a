"""Rate limiting of calls at the host that receives them.

The tokens are requested from the home of the call's organisation, which is
the host that owns the organisation's key.
"""

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

# A call has to run at the time of its admission, so an admission that takes
# longer to arrive is discarded. The time for which the home delayed the call
# does not count.
MAX_ADMISSION_DELAY_MS = 1000
RETRY_INTERVAL_MS = 50
# Unused tokens are returned at this age of the batch, before it expires.
BATCH_RETURN_MS = prefetched_tokens.BATCH_LIFETIME_MS * 0.7
_RETRYABLE_REASONS = (errors.Reason.MOVED, errors.Reason.UNAVAILABLE)


class AdmissionClient:
    """Requests admission from homes, with retries while a home changes."""

    def __init__(
        self,
        members: membership.Membership,
        peers: peers_lib.PeerClient,
        clock: clock_lib.Clock,
        lease_ms: float,
    ) -> None:
        self._members = members
        self._peers = peers
        self._clock = clock
        self._hold_ms = organisations.max_hold_ms(lease_ms)
        self._pending_requests: dict[
            asyncio.Timeout, tuple[str, ids.HostId | None]
        ] = {}
        self._prefetched: dict[
            ids.OrganisationId, prefetched_tokens.PrefetchedTokens
        ] = {}
        self._pending_returns: set[asyncio.Future[errors.Outcome[Any]]] = set()
        members.on_change(self._on_change)

    async def admit(
        self, organisation: ids.OrganisationId
    ) -> errors.Outcome[None]:
        """Admits one call, which has to run immediately.

        A call within the rate is delayed while the organisation's home
        changes. A refused call has not run.
        """
        now_ms = self._clock.now_ms()
        if self._prefetched_tokens(organisation).take(now_ms):
            return result.Success(None)
        deadline_ms = now_ms + self._hold_ms
        while True:
            outcome = await self._request_token(organisation, deadline_ms)
            if outcome is None:
                continue
            if isinstance(outcome, result.Success):
                return result.Success(None)
            failure = outcome.failure()
            if failure.reason not in _RETRYABLE_REASONS:
                return result.Failure(failure)
            if self._clock.now_ms() >= deadline_ms:
                return errors.failed(
                    errors.Reason.UNAVAILABLE,
                    "Rates cannot be checked now.",
                    retry_after_ms=organisations.EXTRA_HOLD_MS,
                )
            await asyncio.sleep(clock_lib.to_seconds(RETRY_INTERVAL_MS))

    async def _request_token(
        self, organisation: ids.OrganisationId, deadline_ms: float
    ) -> errors.Outcome[messages.TokensTaken] | None:
        sent_ms = self._clock.now_ms()
        key = rendezvous.organisation_key(organisation)
        home = self._members.home_of(key)
        timeout_ms = max(RETRY_INTERVAL_MS, deadline_ms - sent_ms)
        prefetched = self._prefetched_tokens(organisation)
        message = messages.TakeTokens(
            organisation, 1, prefetched.desired_tokens(), prefetched.release()
        )
        try:
            async with asyncio.timeout(None) as scope:
                self._pending_requests[scope] = (key, home)
                outcome = await self._peers.call(home, message, timeout_ms)
        except TimeoutError:
            return None
        finally:
            self._pending_requests.pop(scope, None)
        match outcome:
            case result.Success(messages.TokensTaken() as taken):
                late_ms = self._clock.now_ms() - sent_ms - taken.held_ms
                if late_ms > MAX_ADMISSION_DELAY_MS:
                    logger.warning("grant_late", extra={"late_ms": late_ms})
                    return None
                self._store_batch(organisation, taken, sent_ms)
        return outcome

    def _store_batch(
        self,
        organisation: ids.OrganisationId,
        taken: messages.TokensTaken,
        sent_ms: float,
    ) -> None:
        if not taken.batch_tokens:
            return
        prefetched = self._prefetched_tokens(organisation)
        previous = prefetched.release()
        if previous is not None:
            self._send_unused_tokens(organisation, previous)
        prefetched.receive(taken.batch, taken.batch_tokens, sent_ms)
        asyncio.get_running_loop().call_later(
            clock_lib.to_seconds(BATCH_RETURN_MS),
            self._return_batch,
            organisation,
            taken,
        )

    def _return_batch(
        self, organisation: ids.OrganisationId, taken: messages.TokensTaken
    ) -> None:
        """Returns a batch before it expires, if it is still current."""
        prefetched = self._prefetched.get(organisation)
        if prefetched is None or prefetched.number != taken.batch:
            return
        returned = prefetched.release()
        if returned is not None:
            self._send_unused_tokens(organisation, returned)

    def _send_unused_tokens(
        self,
        organisation: ids.OrganisationId,
        returned: prefetched_tokens.Returned,
    ) -> None:
        home = self._members.home_of(rendezvous.organisation_key(organisation))
        message = messages.ReturnTokens(organisation, returned)
        task = asyncio.ensure_future(self._peers.call(home, message))
        self._pending_returns.add(task)
        task.add_done_callback(self._pending_returns.discard)

    def _prefetched_tokens(
        self, organisation: ids.OrganisationId
    ) -> prefetched_tokens.PrefetchedTokens:
        found = self._prefetched.get(organisation)
        if found is None:
            found = prefetched_tokens.PrefetchedTokens()
            self._prefetched[organisation] = found
        return found

    def _on_change(self) -> None:
        """Cancels requests to hosts that are no longer the home."""
        now_s = asyncio.get_running_loop().time()
        now_ms = self._clock.now_ms()
        for organisation, prefetched in list(self._prefetched.items()):
            if prefetched.is_idle(now_ms):
                del self._prefetched[organisation]
        for scope, (key, home) in list(self._pending_requests.items()):
            if self._members.home_of(key) != home:
                scope.reschedule(now_s)
