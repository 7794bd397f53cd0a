"""Tests of quarantine, alone and with circuit breakers and retries."""

from __future__ import annotations

import collections
import dataclasses
import random
import unittest

from hypothesis import stateful
from hypothesis import strategies as st

from mangotally import errors, ids
from mangotally.policy import breaker, faults, quarantine, records, retries
from tests import stateful as stateful_settings

K = faults.FaultKind
SERVICE = ids.ServiceId("assistente")
KEEP_MS = 600_000
TARGETS = [ids.TargetId(f"t{n}") for n in range(5)]
POISON = "poison"
DIGESTS = [POISON, "a", "b", "c", "d"]
SHARE = 0.2
RESTART_MS = 5000
_SENT = frozenset({K.ERROR, K.STALLED, K.CRASHED})
SETTLED_MS = 3 * breaker.MAX_OPEN_MS


def _crash(digest: str, target: str, call: str, at: int = 0) -> object:
    return records.RequestCrashed(
        digest,
        SERVICE,
        ids.TargetId(target),
        ids.CallId(call),
        at,
        at + KEEP_MS,
    )


class QuarantineTest(unittest.TestCase):
    """Records of crashes."""

    def setUp(self) -> None:
        self.state = quarantine.Quarantine()

    def test_two_crashes(self) -> None:
        """The second crash quarantines a request until the records expire."""
        self.state.apply(_crash("d", "t1", "c1"))
        self.assertFalse(self.state.is_refused("d", 1))
        self.state.apply(_crash("d", "t2", "c2"))
        self.assertTrue(self.state.is_refused("d", 1))
        self.assertEqual(len(self.state.quarantined(1)), 1)
        self.assertFalse(self.state.is_refused("d", KEEP_MS))

    def test_same_report_twice(self) -> None:
        """A crash that is reported twice is counted once."""
        self.assertTrue(self.state.apply(_crash("d", "t1", "c1")))
        self.assertFalse(self.state.apply(_crash("d", "t1", "c1")))
        self.assertFalse(self.state.is_refused("d", 1))

    def test_copies_at_one_target(self) -> None:
        """Copies that ran at one target when it crashed count as one crash."""
        self.state.apply(_crash("d", "t1", "c1"))
        self.state.apply(_crash("d", "t1", "c2", 10))
        self.assertFalse(self.state.is_refused("d", 11))

    def test_lifted(self) -> None:
        """An operator lifts the quarantine of a request."""
        self.state.apply(_crash("d", "t1", "c1"))
        self.state.apply(_crash("d", "t2", "c2"))
        self.state.apply(records.QuarantineLifted("d"))
        self.assertFalse(self.state.is_refused("d", 1))


class IsolationTest(unittest.TestCase):
    """Isolation of the suspects of one pool."""

    def setUp(self) -> None:
        self.isolation = quarantine.SuspectIsolation()

    def _place(
        self, call: str, digest: str, *crashed_targets: str
    ) -> quarantine.IsolationDecision:
        crashed = [ids.TargetId(item) for item in crashed_targets]
        return self.isolation.place(
            ids.CallId(call), digest, crashed, TARGETS[:3]
        )

    def test_suspects_are_isolated(self) -> None:
        """Suspects share no target and avoid targets that they crashed."""
        first = self._place("c1", "a", "t0")
        second = self._place("c2", "b", "t0")
        self.assertEqual(first, quarantine.OnlyTargets(frozenset({TARGETS[1]})))
        self.assertEqual(
            second, quarantine.OnlyTargets(frozenset({TARGETS[2]}))
        )
        self.assertEqual(self._place("c3", "c", "t0"), quarantine.MustWait())
        self.isolation.remove(ids.CallId("c1"), is_answered=True)
        self.assertEqual(self._place("c3", "c", "t0"), first)

    def test_answered_request_is_a_suspect_after_a_crash(self) -> None:
        """A crash makes a request suspect even if it was answered before."""
        self._place("c1", "a")
        self.isolation.remove(ids.CallId("c1"), is_answered=True)
        self.assertEqual(self._place("c2", "a"), quarantine.AnyTarget())
        self.isolation.remove(ids.CallId("c2"), is_answered=False)
        self.isolation.mark_suspect("a")
        self.assertIsInstance(
            self._place("c3", "a", "t0"), quarantine.OnlyTargets
        )

    def test_copies_share_one_target(self) -> None:
        """Copies of a request without an answer yet run at one target."""
        self.assertEqual(self._place("c1", "a"), quarantine.AnyTarget())
        self.assertEqual(self._place("c2", "a"), quarantine.MustWait())
        self.isolation.record_target(ids.CallId("c1"), TARGETS[1])
        second = self._place("c2", "a")
        self.assertEqual(
            second, quarantine.OnlyTargets(frozenset(TARGETS[1:2]))
        )

    def test_running_copies_become_suspects(self) -> None:
        """A suspect is not placed where a copy of a suspect already runs."""
        self._place("c0", "a")
        self.isolation.remove(ids.CallId("c0"), is_answered=True)
        self._place("c1", "a")
        self.isolation.record_target(ids.CallId("c1"), TARGETS[1])
        self.isolation.mark_suspect("a")
        found = self._place("c3", "poison", "t0")
        self.assertEqual(found, quarantine.OnlyTargets(frozenset(TARGETS[2:3])))


@dataclasses.dataclass
class _Call:
    """A simulated call."""

    call: ids.CallId
    request: int
    digest: str
    attempt: int
    is_repeatable: bool
    targets: tuple[ids.TargetId, ...]
    target: ids.TargetId | None = None


class TargetsMachine(stateful.RuleBasedStateMachine):
    """One pool and several requests, one of which crashes its targets.

    Invariants: the poison request crashes at most two targets; retries stay
    within their budget; a call that is not repeatable is sent at most once; a
    healthy target receives calls again; other requests are never refused.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0
        self.random = random.Random(7)
        self.quarantine = quarantine.Quarantine()
        self.isolation = quarantine.SuspectIsolation()
        self.breakers = {t: breaker.Breaker() for t in TARGETS}
        self.budget = retries.RetryBudget(SHARE)
        self.down_until = dict.fromkeys(TARGETS, 0)
        self.calls: dict[ids.CallId, _Call] = {}
        self.waiting: list[_Call] = []
        self.sent: collections.Counter[int] = collections.Counter()
        self.number = 0
        self.requests = 0
        self.retried = 0
        self.crash_counts: collections.Counter[str] = collections.Counter()
        self.refused: set[str] = set()

    def _live(self) -> list[ids.TargetId]:
        return [t for t in TARGETS if self.breakers[t].slots(4)]

    @stateful.rule(
        digest=st.sampled_from([POISON, *DIGESTS]),
        is_repeatable=st.booleans(),
        copies=st.integers(1, 4),
    )
    def submit(self, digest: str, is_repeatable: bool, copies: int) -> None:
        """A caller sends one or several copies of a request."""
        for _ in range(copies):
            self.requests += 1
            self.budget.earn()
            self._submit(self.requests, digest, 1, is_repeatable)
        self._settle()

    def _settle(self) -> None:
        """Places and dispatches as many calls as possible."""
        self._place()
        for number in range(len(self.calls)):
            self._dispatch(number)

    def _submit(
        self, request: int, digest: str, attempt: int, is_repeatable: bool
    ) -> None:
        if self.quarantine.is_refused(digest, self.now_ms):
            self.refused.add(digest)
            return
        self.number += 1
        call = ids.CallId(f"c{self.number}")
        self.waiting.append(
            _Call(call, request, digest, attempt, is_repeatable, ())
        )

    def _place(self) -> None:
        """Places waiting calls, as the home of the pool would."""
        for call in list(self.waiting):
            if self.quarantine.is_refused(call.digest, self.now_ms):
                self.waiting.remove(call)
                self.refused.add(call.digest)
                continue
            crashes = self.quarantine.crashes(call.digest, self.now_ms)
            crashed = [record.target for record in crashes]
            match self.isolation.place(
                call.call, call.digest, crashed, self._live()
            ):
                case quarantine.AnyTarget():
                    call.targets = tuple(TARGETS)
                case quarantine.OnlyTargets(targets):
                    call.targets = tuple(targets)
                case _:
                    continue
            self.waiting.remove(call)
            self.calls[call.call] = call

    def _dispatch(self, choice: int) -> None:
        """Sends a placed call to a target, as the scheduler would."""
        ready = [c for c in self.calls.values() if c.target is None]
        if not ready:
            return
        call = ready[choice % len(ready)]
        running = collections.Counter(c.target for c in self.calls.values())
        free = [
            t for t in call.targets if running[t] < self.breakers[t].slots(4)
        ]
        if not free:
            self.isolation.remove(call.call, is_answered=False)
            del self.calls[call.call]
            self.waiting.append(call)
            return
        call.target = free[choice % len(free)]
        self.isolation.record_target(call.call, call.target)
        if self.down_until[call.target] > self.now_ms:
            self._end(call, faults.Fault(K.CONNECTION_REFUSED, ""))

    @stateful.rule(choice=st.integers(0, 99))
    def run(self, choice: int) -> None:
        """A target completes a call; the poison request crashes it."""
        self._settle()
        running = [c for c in self.calls.values() if c.target is not None]
        if not running:
            return
        call = running[choice % len(running)]
        if call.digest != POISON:
            self._end(call, None)
            return
        target = call.target
        assert target is not None
        self.crash_counts[POISON] += 1
        self.down_until[target] = self.now_ms + RESTART_MS
        for other in [c for c in running if c.target == target]:
            self._end(other, faults.Fault(K.CRASHED, ""))

    @stateful.rule(
        choice=st.integers(0, 99),
        kind=st.sampled_from([K.ERROR, K.STALLED, K.REFUSED, K.UNREACHABLE]),
    )
    def fail(self, choice: int, kind: K) -> None:
        """A call fails because of its target."""
        self._settle()
        running = [c for c in self.calls.values() if c.target is not None]
        if running:
            self._end(running[choice % len(running)], faults.Fault(kind, ""))

    @stateful.rule(by_ms=st.sampled_from([10, 500, 4000]))
    def wait(self, by_ms: int) -> None:
        """Time passes; targets are polled and probed."""
        self._advance(by_ms)
        self._settle()

    def _advance(self, by_ms: int) -> None:
        self.now_ms += by_ms
        for target, item in self.breakers.items():
            is_up = self.down_until[target] <= self.now_ms
            if item.begin_probe(self.now_ms):
                item.end_probe(is_up, self.now_ms, self.random.random())
            elif item.state is not breaker.BreakerState.OPEN:
                item.record_poll(is_up, self.now_ms, self.random.random())

    def _end(self, call: _Call, fault: faults.Fault | None) -> None:
        target = call.target
        assert target is not None
        del self.calls[call.call]
        self.isolation.remove(call.call, is_answered=fault is None)
        if not call.is_repeatable and (fault is None or fault.kind in _SENT):
            self.sent[call.request] += 1
        if fault is None:
            self.breakers[target].succeed()
            if self.quarantine.crashes(call.digest, self.now_ms):
                self.quarantine.apply(records.RequestCleared(call.digest))
            return
        self.breakers[target].fail(
            fault, call.digest, self.now_ms, self.random.random()
        )
        if fault.kind is K.CRASHED:
            self._record_crash(call, target)
        is_repeatable = call.is_repeatable or fault.ran is errors.Ran.NOT_RUN
        attempt = retries.Attempt(call.attempt, is_repeatable, 60_000)
        again = retries.decide(
            fault, attempt, self.budget, self.random.random()
        )
        if isinstance(again, retries.Retry):
            self.retried += 1
            self._submit(
                call.request,
                call.digest,
                call.attempt + 1,
                call.is_repeatable,
            )

    def _record_crash(self, call: _Call, target: ids.TargetId) -> None:
        self.isolation.mark_suspect(call.digest)
        for copy in self.isolation.copies(call.digest):
            queued = self.calls[copy]
            if queued.target is None:
                self.isolation.remove(copy, is_answered=False)
                del self.calls[copy]
                self.waiting.append(queued)
        self.quarantine.apply(
            records.RequestCrashed(
                call.digest,
                SERVICE,
                target,
                call.call,
                self.now_ms,
                self.now_ms + KEEP_MS,
            )
        )
        if self.quarantine.is_refused(call.digest, self.now_ms):
            for record in self.quarantine.crashes(call.digest, self.now_ms):
                self.breakers[record.target].discard_faults(
                    call.digest, self.now_ms
                )

    @stateful.invariant()
    def poison_crashes_at_most_two_targets(self) -> None:
        """One request crashes at most two targets."""
        assert self.crash_counts[POISON] <= quarantine.MAX_CRASHES, (
            self.crash_counts
        )

    @stateful.invariant()
    def other_requests_are_not_refused(self) -> None:
        """Only the request that crashes targets is refused."""
        assert self.refused <= {POISON}, self.refused

    @stateful.invariant()
    def retries_stay_within_their_budget(self) -> None:
        """Retries are at most a fraction of the requests plus the reserve."""
        limit = SHARE * self.requests + retries.MAX_SAVED_RETRIES
        assert self.retried <= limit, (self.retried, self.requests)

    @stateful.invariant()
    def at_most_once(self) -> None:
        """A call that is not repeatable is sent to at most one target."""
        assert all(count <= 1 for count in self.sent.values()), self.sent

    def teardown(self) -> None:
        """Targets that have recovered receive calls again."""
        for _ in range(int(SETTLED_MS) // 500):
            self._advance(500)
        assert self._live() == TARGETS


TargetsMachineTest = TargetsMachine.TestCase
TargetsMachineTest.settings = stateful_settings.CI_SETTINGS
MACHINES = (TargetsMachine,)
