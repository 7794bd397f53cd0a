"""Fair queueing between organisations; least attained service within each."""

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
# Waiting calls count towards the usual load up to this fraction of the running
# calls. (1 + this) * `Headroom.usual_fraction` is above 1, so that the usual
# load of an organisation does not shrink because its calls are held back.
COUNTED_BACKLOG_FRACTION = 0.25


@dataclasses.dataclass(slots=True, eq=False)
class QueuedCall:
    """A call in the queues of a scheduler.

    Attributes:
        call: The call.
        key: Sort key among the calls of its organisation; smallest first.
        submitted_ms: Time of submission.
        queues: Queues that contain the call.
        waiting: Whether the call is still queued.
    """

    call: pools.PoolCall
    key: float
    submitted_ms: float
    queues: list[CallQueue] = dataclasses.field(default_factory=list)
    waiting: bool = True

    def remove(self) -> None:
        """Removes the call from all queues."""
        self.waiting = False
        for queue in self.queues:
            queue.size -= 1
        self.queues.clear()


@dataclasses.dataclass(frozen=True)
class Headroom:
    """Slots that are kept free for organisations within their fair share.

    Attributes:
        over_share_fill: Fraction of a target's slots in use from which it
            takes no more calls of organisations above their fair share.
        floor: Fraction of the pool's slots that any organisation may use.
        average_ms: Time constant of the average of an organisation's running
            calls.
        surge_fill: Fraction of a target's slots in use from which it takes
            no more calls of organisations in a surge.
        backlog_ratio: Ratio of waiting to running calls from which an
            organisation that already runs its usual load is in a surge.
        usual_fraction: Fraction of its usual load that an organisation may
            run on filled targets during a surge.
        usual_load_ms: Time constant of the average of the usual load.
    """

    over_share_fill: float = 0.75
    floor: float = 0.15
    average_ms: float = 30_000.0
    surge_fill: float = 0.3
    backlog_ratio: float = 0.5
    usual_fraction: float = 0.9
    usual_load_ms: float = 1_200_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionRestriction:
    """Organisations whose calls a target currently does not take.

    Attributes:
        slots: Number of slots in the pool.
        excludes_over_share: Whether organisations above their fair share are
            excluded.
        excludes_surging: Whether organisations in a surge are excluded.
    """

    slots: int
    excludes_over_share: bool
    excludes_surging: bool


@dataclasses.dataclass(slots=True)
class FairShareAccount:
    """Service received by an organisation.

    Attributes:
        virtual_time: Weighted tokens served, divided by the weight of the
            plan.
        credit: Tokens charged in advance that were not used.
        waiting: Number of queued calls.
        in_flight: Number of running calls.
        weight: Weight of the organisation's plan.
        average: Moving average of the running calls.
        updated_ms: Time of the last update of the average.
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
        """Whether the organisation has calls."""
        return bool(self.waiting or self.in_flight)

    def change_in_flight(
        self, by: int, average_ms: float, now_ms: float
    ) -> None:
        """Changes the number of running calls and updates its average."""
        elapsed_ms = max(0.0, now_ms - self.updated_ms)
        smoothing = elapsed_ms / (elapsed_ms + average_ms)
        self.average += smoothing * (self.in_flight - self.average)
        self.updated_ms = now_ms
        self.in_flight += by


class Shares:
    """Start-time fair queueing: the virtual time of each organisation."""

    def __init__(self, headroom: Headroom | None = None) -> None:
        """Initialises the shares.

        Args:
            headroom: Slots kept free for organisations within their fair
                share, or None to keep none free.
        """
        self.accounts: dict[ids.OrganisationId, FairShareAccount] = {}
        self.virtual_now = 0.0
        self._headroom = headroom
        self._usual_load = usual_load.UsualLoad(
            headroom.usual_load_ms if headroom else math.inf
        )
        self._active_weight = 0.0

    def enqueue(self, organisation: ids.OrganisationId, weight: float) -> None:
        """Records a call that enters the queue.

        Args:
            organisation: Organisation of the call.
            weight: Weight of its plan.
        """
        account = self.accounts.get(organisation)
        if account is None:
            account = FairShareAccount()
            self.accounts[organisation] = account
        if account.active:
            self._active_weight -= account.weight
        self._active_weight += weight
        account.weight = weight
        if not account.waiting:
            account.virtual_time = max(account.virtual_time, self.virtual_now)
        account.waiting += 1

    def dequeue(self, organisation: ids.OrganisationId) -> None:
        """Records a call that left the queue without having run."""
        self.accounts[organisation].waiting -= 1
        self._remove_if_inactive(organisation)

    def charge(
        self, organisation: ids.OrganisationId, tokens: float, now_ms: float
    ) -> None:
        """Charges the expected cost of a call that is dispatched."""
        account = self.accounts[organisation]
        self.virtual_now = max(self.virtual_now, account.virtual_time)
        used = min(account.credit, tokens)
        account.credit -= used
        account.virtual_time += (tokens - used) / account.weight
        account.waiting -= 1
        account.change_in_flight(1, self._average_ms, now_ms)
        self._record_load(organisation, account, now_ms)

    def settle(
        self, organisation: ids.OrganisationId, change: float, now_ms: float
    ) -> None:
        """Corrects the charge of a call that ended.

        Args:
            organisation: Organisation of the call.
            change: Actual minus charged cost; a negative difference is
                credited to later calls.
            now_ms: Current time.
        """
        account = self.accounts[organisation]
        account.change_in_flight(-1, self._average_ms, now_ms)
        self._record_load(organisation, account, now_ms)
        if change > 0:
            account.virtual_time += change / account.weight
        else:
            account.credit -= change
        self._remove_if_inactive(organisation)

    def virtual_time(self, organisation: ids.OrganisationId) -> float:
        """Returns the virtual time of an organisation that has calls."""
        return self.accounts[organisation].virtual_time

    def restriction(
        self, load: int, target_slots: int, slots: int
    ) -> AdmissionRestriction | None:
        """Returns the organisations that a target excludes, None if none.

        Args:
            load: Number of calls at the target.
            target_slots: Number of slots of the target.
            slots: Number of slots in the pool.
        """
        headroom = self._headroom
        if headroom is None:
            return None
        excludes_over_share = load >= headroom.over_share_fill * target_slots
        excludes_surging = load >= headroom.surge_fill * target_slots
        if not (excludes_over_share or excludes_surging):
            return None
        return AdmissionRestriction(
            slots, excludes_over_share, excludes_surging
        )

    def is_excluded(
        self,
        organisation: ids.OrganisationId,
        restriction: AdmissionRestriction,
    ) -> bool:
        """Returns whether a restriction applies to an organisation."""
        if restriction.excludes_over_share and self.is_over_share(
            organisation, restriction.slots
        ):
            return True
        return restriction.excludes_surging and self.is_surging(
            organisation, restriction.slots
        )

    def is_surging(self, organisation: ids.OrganisationId, slots: int) -> bool:
        """Returns whether an organisation is in a surge.

        That is the case if its calls queue up although it already runs
        `Headroom.usual_fraction` of its usual load and `Headroom.floor` of
        the pool's slots.

        Args:
            organisation: An organisation that has calls.
            slots: Number of slots in the pool.
        """
        headroom = self._headroom
        if headroom is None:
            return False
        account = self.accounts[organisation]
        if account.waiting < headroom.backlog_ratio * account.in_flight:
            return False
        if account.in_flight < headroom.floor * slots:
            return False
        expected = self._usual_load.expected(organisation)
        if expected is None:
            return False
        return account.in_flight >= headroom.usual_fraction * expected

    def is_over_share(
        self, organisation: ids.OrganisationId, slots: int
    ) -> bool:
        """Returns whether an organisation runs at least its fair share.

        Args:
            organisation: An organisation that has calls.
            slots: Number of slots in the pool.
        """
        if self._headroom is None:
            return False
        account = self.accounts[organisation]
        running = min(account.average, account.in_flight)
        if running < self._headroom.floor * slots:
            return False
        return running * self._active_weight >= account.weight * slots

    def _record_load(
        self,
        organisation: ids.OrganisationId,
        account: FairShareAccount,
        now_ms: float,
    ) -> None:
        """Records the load of an organisation for the usual load.

        Part of the waiting calls is included, so that a lasting increase in
        demand raises the usual load.
        """
        if self._headroom is None:
            return
        counted = min(
            account.waiting, COUNTED_BACKLOG_FRACTION * account.in_flight
        )
        self._usual_load.record(
            organisation, account.in_flight + counted, now_ms
        )

    @property
    def _average_ms(self) -> float:
        return self._headroom.average_ms if self._headroom else 1.0

    def _remove_if_inactive(self, organisation: ids.OrganisationId) -> None:
        account = self.accounts[organisation]
        if account.active:
            return
        self._active_weight -= account.weight
        if account.virtual_time <= self.virtual_now:
            del self.accounts[organisation]


class CallQueue:
    """Waiting calls by organisation, and by sort key within each.

    Calls that were removed are dropped when they reach the front.
    """

    def __init__(self, shares: Shares) -> None:
        self.size = 0
        self._shares = shares
        self._sequence = itertools.count()
        self._calls_by_organisation: dict[
            ids.OrganisationId, list[tuple[float, int, QueuedCall]]
        ] = {}
        self._organisation_heap: list[
            tuple[float, int, ids.OrganisationId]
        ] = []

    def add(self, entry: QueuedCall) -> None:
        """Adds a waiting call."""
        organisation = entry.call.organisation
        calls = self._calls_by_organisation.get(organisation)
        if calls is None:
            calls = []
            self._calls_by_organisation[organisation] = calls
            self._push_organisation(organisation)
        heapq.heappush(calls, (entry.key, next(self._sequence), entry))
        entry.queues.append(self)
        self.size += 1

    def peek(
        self, restriction: AdmissionRestriction | None = None
    ) -> QueuedCall | None:
        """Returns the first call of the organisation with least virtual time.

        Args:
            restriction: Restriction whose organisations are skipped, or None
                to skip none. At most `MAX_SKIPPED_ORGANISATIONS` are skipped.
        """
        entry = self._peek_unrestricted()
        if restriction is None:
            return entry
        skipped = []
        while entry and self._shares.is_excluded(
            entry.call.organisation, restriction
        ):
            skipped.append(heapq.heappop(self._organisation_heap))
            entry = (
                None
                if len(skipped) == MAX_SKIPPED_ORGANISATIONS
                else self._peek_unrestricted()
            )
        for item in skipped:
            heapq.heappush(self._organisation_heap, item)
        return entry

    def _peek_unrestricted(self) -> QueuedCall | None:
        while self._organisation_heap:
            virtual_time, _, organisation = self._organisation_heap[0]
            entry = self._first_waiting(organisation)
            if entry is None:
                heapq.heappop(self._organisation_heap)
                continue
            if self._shares.virtual_time(organisation) > virtual_time:
                heapq.heappop(self._organisation_heap)
                self._push_organisation(organisation)
                continue
            return entry
        return None

    def entries(self) -> list[QueuedCall]:
        """Returns all waiting calls."""
        return [
            entry
            for calls in self._calls_by_organisation.values()
            for _, _, entry in calls
            if entry.waiting
        ]

    def _first_waiting(
        self, organisation: ids.OrganisationId
    ) -> QueuedCall | None:
        calls = self._calls_by_organisation[organisation]
        while calls and not calls[0][2].waiting:
            heapq.heappop(calls)
        if not calls:
            del self._calls_by_organisation[organisation]
            return None
        return calls[0][2]

    def _push_organisation(self, organisation: ids.OrganisationId) -> None:
        virtual_time = self._shares.virtual_time(organisation)
        heapq.heappush(
            self._organisation_heap,
            (virtual_time, next(self._sequence), organisation),
        )
