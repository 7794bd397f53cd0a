"""The state of one history partition, computed from its records."""

from __future__ import annotations

from returns import result

from mangotally import errors, ids
from mangotally.policy import budget, calls, programs, records

DAY_MS = 86_400_000
# A snapshot is ignored if it was appended more than this many offsets after
# the one at which it was taken.
SNAPSHOT_SPAN_OFFSETS = 1000
_FIRST_OFFSET = ids.Offset(0)


class Ledger:
    """Programs and calls of a partition, replayed from its history records.

    A pure function of the records before an offset: all hosts that have
    read the same records agree on which of them took effect.
    """

    def __init__(
        self,
        call_lifetime_ms: int = DAY_MS,
        start_offset: ids.Offset = _FIRST_OFFSET,
    ) -> None:
        """Creates an empty ledger.

        Args:
            call_lifetime_ms: How long an idempotency key identifies a call.
            start_offset: Offset of the first record that will be applied.
        """
        self.programs: dict[programs.ProgramKey, programs.Program] = {}
        self.calls = calls.CallLedger(call_lifetime_ms)
        self._start_offset = start_offset
        self._last_offsets: dict[tuple[str, ...], ids.Offset] = {}

    def apply(self, record: object, offset: ids.Offset) -> bool:
        """Applies one record; returns whether it took effect.

        A snapshot takes effect if no other record of its subject was written
        since the offset at which it was taken, and if this ledger has read
        all records from that offset on.
        """
        subject = _subject(record)
        match record:
            case records.TreeSnapshot():
                if self._is_valid_snapshot(subject, record.as_of, offset):
                    return self._restore(record)
                return False
            case records.CallSnapshot():
                if self._is_valid_snapshot(subject, record.as_of, offset):
                    return self.calls.restore(record)
                return False
        self._last_offsets[subject] = offset
        return self._apply(record)

    def _is_valid_snapshot(
        self, subject: tuple[str, ...], as_of: ids.Offset, offset: ids.Offset
    ) -> bool:
        is_recent = offset - as_of <= SNAPSHOT_SPAN_OFFSETS
        last_offset = self._last_offsets.get(subject, -1)
        return is_recent and as_of >= self._start_offset and last_offset < as_of

    def _apply(self, record: object) -> bool:
        match record:
            case records.ProgramOpened():
                return self._apply_opened(record)
            case records.TurnBegun():
                return self._apply_turn_begun(record)
            case records.TurnDone():
                return self._apply_turn_done(record)
            case records.TurnDropped():
                return self._apply_turn_dropped(record)
            case records.CallCharged():
                return self._apply_call_charged(record)
            case records.ProgramClosed():
                return self._apply_closed(record)
            case _:
                return self.calls.apply(record)

    def find(
        self, organisation: ids.OrganisationId, program: ids.ProgramId
    ) -> programs.Program | None:
        """Returns an organisation's program, or None."""
        return self.programs.get((organisation, program))

    def tree(
        self, organisation: ids.OrganisationId, program: ids.ProgramId
    ) -> list[programs.Program]:
        """Returns a program and all its descendants, parents first."""
        root = self.find(organisation, program)
        if root is None:
            return []
        found = [root]
        for item in found:
            children = (
                self.find(organisation, child) for child in item.children
            )
            found += [child for child in children if child is not None]
        return found

    def account_chain(
        self, program: programs.Program
    ) -> list[budget.BudgetAccount]:
        """Returns the accounts of a program and of all its ancestors."""
        return [item.account for item in self._with_ancestors(program)]

    def exhausted(self, program: programs.Program) -> bool:
        """Returns whether a program's budgets rule out any further call."""
        return any(account.exhausted for account in self.account_chain(program))

    def check_turn(
        self, wanted: programs.TurnRequest, now_wall_ms: int
    ) -> errors.Outcome[programs.StartTurn | programs.Replay]:
        """Decides whether a turn runs, is replayed or is refused.

        Args:
            wanted: The requested turn.
            now_wall_ms: Time since the Unix epoch.

        Returns:
            `StartTurn`, `Replay`, or the reason for the refusal.
        """
        found = self.find(wanted.organisation, wanted.program)
        if found is None:
            return programs.program_not_found()
        if wanted.turn < found.next_turn:
            return programs.replay_or_conflict(
                found.turns[wanted.turn - 1], wanted.digest
            )
        refusal = self.check_open(
            wanted.organisation, wanted.program, now_wall_ms
        )
        if isinstance(refusal, result.Failure):
            return refusal
        if wanted.turn > found.next_turn:
            return errors.failed(
                errors.Reason.TURN_GAP,
                f"The next turn is {found.next_turn}, got {wanted.turn}.",
            )
        prompt_tokens = found.prompt_bound_tokens(wanted.messages)
        prompt_tokens += len(wanted.options.encode())
        available = budget.check(self.account_chain(found), prompt_tokens + 1)
        return available.map(
            lambda tokens: programs.StartTurn(
                prompt_tokens, min(wanted.max_tokens, tokens - prompt_tokens)
            )
        )

    def check_open(
        self,
        organisation: ids.OrganisationId,
        program: ids.ProgramId,
        now_wall_ms: int,
    ) -> errors.Outcome[None]:
        """Checks that a program exists, is open and is before its deadline."""
        found = self.find(organisation, program)
        if found is None:
            return programs.program_not_found()
        closed = self._close_reason(found)
        is_expired = closed is records.CloseReason.DEADLINE
        if is_expired or now_wall_ms >= found.deadline_wall_ms:
            return errors.failed(
                errors.Reason.DEADLINE, "The program's deadline has passed."
            )
        if closed is records.CloseReason.BUDGET:
            return errors.failed(
                errors.Reason.OVER_BUDGET, "The program's budget is exhausted."
            )
        if closed is not None:
            return errors.failed(
                errors.Reason.CONFLICT, "The program has ended."
            )
        return result.Success(None)

    def _close_reason(
        self, program: programs.Program
    ) -> records.CloseReason | None:
        """Returns why a program was closed.

        If it was closed with an ancestor, that ancestor's reason is returned.
        """
        if program.closed is not records.CloseReason.PARENT:
            return program.closed
        for item in self._with_ancestors(program):
            if item.closed not in (None, records.CloseReason.PARENT):
                return item.closed
        return program.closed

    def prune(self, now_wall_ms: int, keep_ms: int) -> None:
        """Removes expired calls and old trees of programs.

        Args:
            now_wall_ms: Time since the Unix epoch.
            keep_ms: How long a tree is kept after its last program ended.
        """
        ends: dict[programs.ProgramKey, int] = {}
        for (organisation, name), program in self.programs.items():
            root = (organisation, ids.root_of(name))
            end_ms = program.closed_wall_ms or program.deadline_wall_ms
            ends[root] = max(ends.get(root, 0), end_ms)
        expired = {
            root for root, end in ends.items() if now_wall_ms > end + keep_ms
        }
        for key in list(self.programs):
            if (key[0], ids.root_of(key[1])) in expired:
                del self.programs[key]
        self.calls.prune(now_wall_ms)
        newest = max(self._last_offsets.values(), default=0)
        self._last_offsets = {
            subject: offset
            for subject, offset in self._last_offsets.items()
            if newest - offset <= SNAPSHOT_SPAN_OFFSETS
        }

    def _with_ancestors(
        self, program: programs.Program
    ) -> list[programs.Program]:
        """Returns a program and its ancestors, the root last."""
        found = [program]
        while found[-1].opened.parent is not None:
            opened = found[-1].opened
            assert opened.parent is not None
            parent = self.find(opened.organisation, opened.parent)
            if parent is None:
                break
            found.append(parent)
        return found

    def _apply_opened(self, record: records.ProgramOpened) -> bool:
        key = (record.organisation, record.program)
        if key in self.programs:
            return False
        deadline_wall_ms = record.deadline_wall_ms
        if record.parent is not None:
            parent = self.find(record.organisation, record.parent)
            if parent is None or parent.closed is not None:
                return False
            deadline_wall_ms = min(deadline_wall_ms, parent.deadline_wall_ms)
            parent.children.append(record.program)
        self.programs[key] = programs.Program(
            record,
            budget.BudgetAccount(record.budget.tokens, record.budget.calls),
            deadline_wall_ms,
            record.deadline_wall_ms - record.budget.wall_ms,
        )
        return True

    def _apply_turn_begun(self, record: records.TurnBegun) -> bool:
        program = self.find(record.organisation, record.program)
        if program is None or program.closed is not None:
            return False
        if record.turn != program.next_turn or record.attempt in program.seen:
            return False
        program.seen.add(record.attempt)
        chain = self.account_chain(program)
        available = budget.check(chain, record.reserved_tokens)
        if isinstance(available, result.Failure):
            return False
        program.attempts[record.attempt] = record
        budget.reserve(chain, record.reserved_tokens)
        return True

    def _apply_turn_done(self, record: records.TurnDone) -> bool:
        program = self.find(record.organisation, record.program)
        if program is None:
            return False
        begun = program.attempts.pop(record.attempt, None)
        if begun is None:
            return False
        budget.settle(
            self.account_chain(program),
            begun.reserved_tokens,
            record.used_tokens,
        )
        if record.turn != program.next_turn:
            return False
        program.turns.append(record)
        program.seen.clear()
        return True

    def _apply_turn_dropped(self, record: records.TurnDropped) -> bool:
        program = self.find(record.organisation, record.program)
        if program is None:
            return False
        if record.turn == program.next_turn:
            program.seen.add(record.attempt)
        begun = program.attempts.pop(record.attempt, None)
        if begun is None:
            return False
        budget.settle(self.account_chain(program), begun.reserved_tokens, None)
        return True

    def _apply_call_charged(self, record: records.CallCharged) -> bool:
        program = self.find(record.organisation, record.program)
        if program is None or program.closed is not None:
            return False
        if record.charge in program.charges:
            return False
        chain = self.account_chain(program)
        if isinstance(budget.check(chain, 0), result.Failure):
            return False
        program.charges.add(record.charge)
        budget.charge_call(chain)
        return True

    def _apply_closed(self, record: records.ProgramClosed) -> bool:
        program = self.find(record.organisation, record.program)
        if program is None or program.closed is not None:
            return False
        program.closed = record.reason
        for item in self.tree(record.organisation, record.program):
            if item.closed is None:
                item.closed = records.CloseReason.PARENT
            item.closed_wall_ms = item.closed_wall_ms or record.wall_ms
        return True

    def _restore(self, record: records.TreeSnapshot) -> bool:
        if not record.programs:
            return False
        root = record.programs[0].opened
        for item in self.tree(root.organisation, root.program):
            del self.programs[(root.organisation, item.opened.program)]
        for state in record.programs:
            key = (state.opened.organisation, state.opened.program)
            self._restore_program(key, state)
            self.programs[key].anchored_wall_ms = record.wall_ms
        return True

    def _restore_program(
        self, key: programs.ProgramKey, state: records.ProgramState
    ) -> None:
        program = programs.restore(state)
        self.programs[key] = program
        opened = state.opened
        if opened.parent is None:
            return
        parent = self.find(opened.organisation, opened.parent)
        if parent is not None:
            parent.children.append(opened.program)
            program.deadline_wall_ms = min(
                program.deadline_wall_ms, parent.deadline_wall_ms
            )


def _subject(record: object) -> tuple[str, ...]:
    """Returns the key of a record's subject: a tree of programs or a call."""
    match record:
        case records.TreeSnapshot(programs=(first, *_)):
            opened = first.opened
            return ("tree", opened.organisation, opened.program)
        case records.CallSnapshot(intent=intent):
            return ("call", intent.organisation, intent.key)
        case (
            records.CallIntent() | records.CallDropped() | records.CallResult()
        ):
            return ("call", record.organisation, record.key)
        case (
            records.ProgramOpened()
            | records.TurnBegun()
            | records.TurnDone()
            | records.TurnDropped()
            | records.CallCharged()
            | records.ProgramClosed()
        ):
            root = ids.root_of(record.program)
            return ("tree", record.organisation, root)
    return ()
