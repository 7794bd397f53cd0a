"""Fair queueing between organisations, least attained service inside."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import math
from typing import TYPE_CHECKING

from mangotally.policy import pools, usual_load

if TYPE_CHECKING:
    from mangotally import ids

MAX_SKIPPED_ORGANISATIONS = 16
# (1 + this) * `Headroom.ordinary` is above 1: use held back does not shrink.
COUNTED_BACKLOG_FRACTION = 0.25


@dataclasses.dataclass(slots=True, eq=False)
class QueuedCall:
    """A call in the queues of a scheduler.

    Attributes:
        call: The call.
        key: Its order among calls of its organisation; smaller first.
        submitted_ms: When it was submitted.
        lanes: The lanes that it waits in.
        waiting: Whether it still waits.
    """

    call: pools.PoolCall
    key: float
    submitted_ms: float
    queues: list[CallQueue] = dataclasses.field(default_factory=list)
    waiting: bool = True

    def remove(self) -> None:
        """Takes the call out of all lanes."""
        self.waiting = False
        for lane in self.queues:
            lane.size -= 1
        self.queues.clear()


@dataclasses.dataclass(frozen=True)
class Headroom:
    """Slots that are kept free for organisations within their share.

    Attributes:
        fill: Share of a target's slots above which it is kept.
        floor: Share of the pool's slots that any organisation may use.
        average_ms: Time over which an organisation's calls are averaged.
        surge_fill: Share of a target's slots above which it takes no more
            calls of an organisation in a surge.
        backlog: Waiting calls per running call from which an organisation
            is in a surge, if it has its ordinary use.
        ordinary: Share of its ordinary use that it keeps in a surge.
        ordinary_ms: Time over which the ordinary use is averaged.
    """

    fill: float = 0.75
    floor: float = 0.15
    average_ms: float = 30_000.0
    surge_fill: float = 0.3
    backlog: float = 0.5
    ordinary: float = 0.9
    ordinary_ms: float = 1_200_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionRestriction:
    """Whom a target takes no more calls of.

    Attributes:
        slots: Slots of the pool.
        from_over: Of organisations above their share.
        from_surging: Of organisations in a surge.
    """

    slots: int
    excludes_over_share: bool
    excludes_surging: bool


@dataclasses.dataclass(slots=True)
class FairShareAccount:
    """What an organisation has received.

    Attributes:
        tag: Virtual time: weighted tokens served over the share.
        credit: Tokens charged in advance that were not used.
        waiting: Its calls that wait.
        inside: Its calls that run.
        share: Weight of its plan.
        average: Its calls that run, averaged over time.
        updated_ms: When the average was updated.
    """

    virtual_time: float = 0.0
    credit: float = 0.0
    waiting: int = 0
    in_flight: int = 0
    weight: float = 1.0
    average: float = 0.0
    updated_ms: float = 0.0

    @property
    def active(self) -> bool:
        """Whether it has calls."""
        return bool(self.waiting or self.in_flight)

    def change_in_flight(
        self, by: int, average_ms: float, now_ms: float
    ) -> None:
        """Counts calls that begin or end to run."""
        elapsed_ms = max(0.0, now_ms - self.updated_ms)
        weight = elapsed_ms / (elapsed_ms + average_ms)
        self.average += weight * (self.in_flight - self.average)
        self.updated_ms = now_ms
        self.in_flight += by


class Shares:
    """Start-time fair queueing: virtual time of each organisation."""

    def __init__(self, headroom: Headroom | None = None) -> None:
        """Makes the shares of a pool without calls."""
        self.accounts: dict[ids.OrganisationId, FairShareAccount] = {}
        self.virtual_now = 0.0
        self._headroom = headroom
        self._use = usual_load.UsualLoad(
            headroom.ordinary_ms if headroom else math.inf
        )
        self._active_share = 0.0

    def enqueue(self, organisation: ids.OrganisationId, share: float) -> None:
        """Counts a call that begins to wait."""
        account = self.accounts.get(organisation)
        if account is None:
            account = FairShareAccount()
            self.accounts[organisation] = account
        if account.active:
            self._active_share -= account.weight
        self._active_share += share
        account.weight = share
        if not account.waiting:
            account.virtual_time = max(account.virtual_time, self.virtual_now)
        account.waiting += 1

    def dequeue(self, organisation: ids.OrganisationId) -> None:
        """Counts a call that waits no more without having run."""
        self.accounts[organisation].waiting -= 1
        self._forget(organisation)

    def charge(
        self, organisation: ids.OrganisationId, tokens: float, now_ms: float
    ) -> None:
        """Charges a call that is dispatched, by its expected cost."""
        account = self.accounts[organisation]
        self.virtual_now = max(self.virtual_now, account.virtual_time)
        used = min(account.credit, tokens)
        account.credit -= used
        account.virtual_time += (tokens - used) / account.weight
        account.waiting -= 1
        account.change_in_flight(1, self._average_ms, now_ms)
        self._note_use(organisation, account, now_ms)

    def settle(
        self, organisation: ids.OrganisationId, change: float, now_ms: float
    ) -> None:
        """Corrects the charge of a call that ended."""
        account = self.accounts[organisation]
        account.change_in_flight(-1, self._average_ms, now_ms)
        self._note_use(organisation, account, now_ms)
        if change > 0:
            account.virtual_time += change / account.weight
        else:
            account.credit -= change
        self._forget(organisation)

    def virtual_time(self, organisation: ids.OrganisationId) -> float:
        """Returns the virtual time of an organisation with calls."""
        return self.accounts[organisation].virtual_time

    def restriction(
        self, load: int, own: int, slots: int
    ) -> AdmissionRestriction | None:
        """Returns whom a target takes no calls of, None if of everybody.

        Args:
            load: Calls at the target.
            own: Slots of the target.
            slots: Slots of the pool.
        """
        headroom = self._headroom
        if headroom is None:
            return None
        from_over = load >= headroom.fill * own
        from_surging = load >= headroom.surge_fill * own
        if not (from_over or from_surging):
            return None
        return AdmissionRestriction(slots, from_over, from_surging)

    def is_excluded(
        self, organisation: ids.OrganisationId, reserve: AdmissionRestriction
    ) -> bool:
        """Returns whether a target takes no calls of an organisation."""
        if reserve.excludes_over_share and self.is_over_share(
            organisation, reserve.slots
        ):
            return True
        return reserve.excludes_surging and self.is_surging(
            organisation, reserve.slots
        )

    def is_surging(self, organisation: ids.OrganisationId, slots: int) -> bool:
        """Returns whether an organisation sends far more than ordinarily.

        Its calls queue up while it runs what it ordinarily runs.

        Args:
            organisation: An organisation with calls.
            slots: Slots of the pool.
        """
        headroom = self._headroom
        if headroom is None:
            return False
        account = self.accounts[organisation]
        if account.waiting < headroom.backlog * account.in_flight:
            return False
        if account.in_flight < headroom.floor * slots:
            return False
        expected = self._use.expected(organisation)
        if expected is None:
            return False
        return account.in_flight >= headroom.ordinary * expected

    def is_over_share(
        self, organisation: ids.OrganisationId, slots: int
    ) -> bool:
        """Returns whether an organisation runs more than its share.

        Args:
            organisation: An organisation with calls.
            slots: Slots of the pool.
        """
        if self._headroom is None:
            return False
        account = self.accounts[organisation]
        running = min(account.average, account.in_flight)
        if running < self._headroom.floor * slots:
            return False
        return running * self._active_share >= account.weight * slots

    def _note_use(
        self,
        organisation: ids.OrganisationId,
        account: FairShareAccount,
        now_ms: float,
    ) -> None:
        """Counts some waiting calls, so that lasting demand is learnt."""
        if self._headroom is None:
            return
        learnt = min(
            account.waiting, COUNTED_BACKLOG_FRACTION * account.in_flight
        )
        self._use.note(organisation, account.in_flight + learnt, now_ms)

    @property
    def _average_ms(self) -> float:
        return self._headroom.average_ms if self._headroom else 1.0

    def _forget(self, organisation: ids.OrganisationId) -> None:
        account = self.accounts[organisation]
        if account.active:
            return
        self._active_share -= account.weight
        if account.virtual_time <= self.virtual_now:
            del self.accounts[organisation]


class CallQueue:
    """Waiting calls, by organisation and then by key.

    Calls that left are dropped when they come to the front.
    """

    def __init__(self, shares: Shares) -> None:
        """Makes an empty lane."""
        self.size = 0
        self._shares = shares
        self._count = itertools.count()
        self._calls: dict[
            ids.OrganisationId, list[tuple[float, int, QueuedCall]]
        ] = {}
        self._order: list[tuple[float, int, ids.OrganisationId]] = []

    def add(self, entry: QueuedCall) -> None:
        """Adds a waiting call."""
        organisation = entry.call.organisation
        calls = self._calls.get(organisation)
        if calls is None:
            calls = []
            self._calls[organisation] = calls
            self._push(organisation)
        heapq.heappush(calls, (entry.key, next(self._count), entry))
        entry.queues.append(self)
        self.size += 1

    def peek(
        self, reserve: AdmissionRestriction | None = None
    ) -> QueuedCall | None:
        """Returns the first call of the organisation with the least tag.

        Args:
            reserve: Organisations to pass over; None to pass over none.
        """
        entry = self._peek()
        if reserve is None:
            return entry
        passed = []
        while entry and self._shares.is_excluded(
            entry.call.organisation, reserve
        ):
            passed.append(heapq.heappop(self._order))
            entry = (
                None
                if len(passed) == MAX_SKIPPED_ORGANISATIONS
                else self._peek()
            )
        for item in passed:
            heapq.heappush(self._order, item)
        return entry

    def _peek(self) -> QueuedCall | None:
        while self._order:
            tag, _, organisation = self._order[0]
            entry = self._first(organisation)
            if entry is None:
                heapq.heappop(self._order)
                continue
            if self._shares.virtual_time(organisation) > tag:
                heapq.heappop(self._order)
                self._push(organisation)
                continue
            return entry
        return None

    def entries(self) -> list[QueuedCall]:
        """Returns all waiting calls."""
        return [
            entry
            for calls in self._calls.values()
            for _, _, entry in calls
            if entry.waiting
        ]

    def _first(self, organisation: ids.OrganisationId) -> QueuedCall | None:
        calls = self._calls[organisation]
        while calls and not calls[0][2].waiting:
            heapq.heappop(calls)
        if not calls:
            del self._calls[organisation]
            return None
        return calls[0][2]

    def _push(self, organisation: ids.OrganisationId) -> None:
        tag = self._shares.virtual_time(organisation)
        heapq.heappush(self._order, (tag, next(self._count), organisation))
