"""Tests of mangotally.homes.claims."""

from __future__ import annotations

import unittest
from typing import Any

from mangotally import ids
from mangotally.homes import claims
from mangotally.hosts import messages
from mangotally.policy import lease
from mangotally.util import clock as clock_lib
from tests.test_homes import fakes

_SERVICE = ids.ServiceId("assistente")
_CALL = messages.RunningCall(
    _SERVICE, ids.CallId("c"), ids.ProgramId("p"), ids.TargetId("t")
)


class _Members(fakes.FakeDirectory):
    def __init__(self) -> None:
        self.lease = lease.Lease(60_000)


class _Slots:
    def active_services(self) -> set[ids.ServiceId]:
        return {_SERVICE}

    def active_calls(
        self, service: ids.ServiceId
    ) -> tuple[messages.RunningCall, ...]:
        return (_CALL,) if service == _SERVICE else ()


class ClaimerTest(unittest.IsolatedAsyncioTestCase):
    """Only hosts without a lease claim their calls."""

    async def test_only_without_a_lease(self) -> None:
        """A host with a lease is asked by the sweeps and sends no claims."""
        clock = clock_lib.SystemClock()
        members: Any = _Members()
        slots: Any = _Slots()
        peers: Any = fakes.FakePeers([])
        claimer = claims.CallClaimer(members, slots, peers, clock, 1000)
        members.lease.renew(clock.now_ms())
        await claimer.claim()
        self.assertEqual(peers.sent, [])
        members.lease.lapse()
        await claimer.claim()
        self.assertEqual(
            peers.sent,
            [messages.ClaimCalls(members.host, _SERVICE, (_CALL,))],
        )
