"""The state of one history partition, as its records tell it."""

from __future__ import annotations

from returns import result

from mangotally import errors, ids
from mangotally.policy import budget, calls, programs, records

DAY_MS = 86_400_000
SNAPSHOT_SPAN_OFFSETS = 1000
_FIRST_OFFSET = ids.Offset(0)


class Ledger:
    """Programs and calls of a partition, from its history records.

    A pure function of the records before an offset: all hosts that have
    read the same records agree on which of them took effect.
    """

    def __init__(
        self,
        call_lifetime_ms: int = DAY_MS,
        start_offset: ids.Offset = _FIRST_OFFSET,
    ) -> None:
        """Makes an empty ledger.

        Args:
            call_lifetime_ms: How long an idempotency key names one call.
            start_offset: Offset of the first record that it will read.
        """
        self.programs: dict[programs.ProgramKey, programs.Program] = {}
        self.calls = calls.CallLedger(call_lifetime_ms)
        self._start_offset = start_offset
        self._touched: dict[tuple[str, ...], ids.Offset] = {}

    def apply(self, record: object, offset: ids.Offset) -> bool:
        """Applies one record; returns whether it took effect.

        A snapshot takes effect if nothing else was written of its subject
        since the offset that it was made at, and if this ledger has read
        all records from there on.
        """
        subject = _subject(record)
        match record:
            case records.TreeSnapshot():
                if self._is_whole(subject, record.as_of, offset):
                    return self._restore(record)
                return False
            case records.CallSnapshot():
                if self._is_whole(subject, record.as_of, offset):
                    return self.calls.restore(record)
                return False
        self._touched[subject] = offset
        return self._apply(record)

    def _is_whole(
        self, subject: tuple[str, ...], as_of: ids.Offset, offset: ids.Offset
    ) -> bool:
        is_recent = offset - as_of <= SNAPSHOT_SPAN_OFFSETS
        touched = self._touched.get(subject, -1)
        return is_recent and as_of >= self._start_offset and touched < as_of

    def _apply(self, record: object) -> bool:
        match record:
            case records.ProgramOpened():
                return self._open(record)
            case records.TurnBegun():
                return self._begin(record)
            case records.TurnDone():
                return self._finish(record)
            case records.TurnDropped():
                return self._drop(record)
            case records.CallCharged():
                return self._charge(record)
            case records.ProgramClosed():
                return self._close(record)
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
        """Returns a program and all programs below it."""
        found = self.find(organisation, program)
        if found is None:
            return []
        below = [found]
        for item in below:
            children = (
                self.find(organisation, child) for child in item.children
            )
            below += [child for child in children if child is not None]
        return below

    def account_chain(
        self, program: programs.Program
    ) -> list[budget.BudgetAccount]:
        """Returns a program's account and those of all its ancestors."""
        return [item.account for item in self._ancestry(program)]

    def exhausted(self, program: programs.Program) -> bool:
        """Returns whether a program can never run a call again."""
        return any(account.exhausted for account in self.account_chain(program))

    def check_turn(
        self, wanted: programs.TurnRequest, now_wall_ms: int
    ) -> errors.Outcome[programs.StartTurn | programs.Replay]:
        """Decides what becomes of a turn.

        Args:
            wanted: The turn.
            now_wall_ms: Time since the Unix epoch.

        Returns:
            `Run`, `Replay`, or why the turn is refused.
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
                f"The next turn is {found.next_turn}, not {wanted.turn}.",
            )
        prompt_tokens = found.prompt_bound_tokens(wanted.messages)
        prompt_tokens += len(wanted.options.encode())
        left = budget.check(self.account_chain(found), prompt_tokens + 1)
        return left.map(
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
        """Returns whether a program is known, open and inside its time."""
        found = self.find(organisation, program)
        if found is None:
            return programs.program_not_found()
        closed = self._close_reason(found)
        over_time = closed is records.CloseReason.DEADLINE
        if over_time or now_wall_ms >= found.deadline_wall_ms:
            return errors.failed(
                errors.Reason.DEADLINE, "The program's time is over."
            )
        if closed is records.CloseReason.BUDGET:
            return errors.failed(
                errors.Reason.OVER_BUDGET, "The program's budget is used up."
            )
        if closed is not None:
            return errors.failed(
                errors.Reason.CONFLICT, "The program has ended."
            )
        return result.Success(None)

    def _close_reason(
        self, program: programs.Program
    ) -> records.CloseReason | None:
        """Returns why a program ended, or the ancestor that ended it."""
        if program.closed is not records.CloseReason.PARENT:
            return program.closed
        for item in self._ancestry(program):
            if item.closed not in (None, records.CloseReason.PARENT):
                return item.closed
        return program.closed

    def prune(self, now_wall_ms: int, keep_ms: int) -> None:
        """Drops trees of programs that ended long ago, and old calls."""
        ends: dict[programs.ProgramKey, int] = {}
        for (organisation, name), program in self.programs.items():
            root = (organisation, ids.root_of(name))
            end_ms = program.closed_wall_ms or program.deadline_wall_ms
            ends[root] = max(ends.get(root, 0), end_ms)
        old = {
            root for root, end in ends.items() if now_wall_ms > end + keep_ms
        }
        for key in list(self.programs):
            if (key[0], ids.root_of(key[1])) in old:
                del self.programs[key]
        self.calls.prune(now_wall_ms)
        newest = max(self._touched.values(), default=0)
        self._touched = {
            subject: offset
            for subject, offset in self._touched.items()
            if newest - offset <= SNAPSHOT_SPAN_OFFSETS
        }

    def _ancestry(self, program: programs.Program) -> list[programs.Program]:
        found = [program]
        while found[-1].opened.parent is not None:
            opened = found[-1].opened
            assert opened.parent is not None
            parent = self.find(opened.organisation, opened.parent)
            if parent is None:
                break
            found.append(parent)
        return found

    def _open(self, record: records.ProgramOpened) -> bool:
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

    def _begin(self, record: records.TurnBegun) -> bool:
        program = self.find(record.organisation, record.program)
        if program is None or program.closed is not None:
            return False
        if record.turn != program.next_turn or record.attempt in program.seen:
            return False
        program.seen.add(record.attempt)
        chain = self.account_chain(program)
        fits = budget.check(chain, record.reserved_tokens)
        if isinstance(fits, result.Failure):
            return False
        program.attempts[record.attempt] = record
        budget.reserve(chain, record.reserved_tokens)
        return True

    def _finish(self, record: records.TurnDone) -> bool:
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

    def _drop(self, record: records.TurnDropped) -> bool:
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

    def _charge(self, record: records.CallCharged) -> bool:
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

    def _close(self, record: records.ProgramClosed) -> bool:
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
    """Returns what a record is about: a tree of programs, or a call."""
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
