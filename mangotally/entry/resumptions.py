"""Prepares requests that continue an interrupted stream."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import math
from typing import TYPE_CHECKING

from mangotally import ids
from mangotally.entry import answers, model, stream_origins, stream_texts
from mangotally.entry import log as log_lib
from mangotally.policy import resumption
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from mangotally.entry import directory as directory_lib
    from mangotally.entry import request_state, requests

# Retry-After while the store is unavailable. An outage may end before the
# deadline of the caller.
STORE_RETRY_MS = 300.0
# Other hosts may have found a target by this time before this one.
DISCOVERY_MS = 2000.0


@dataclasses.dataclass(frozen=True)
class Resumption:
    """What is known of an interrupted stream, for the log.

    Attributes:
        resumes: The request whose answer brought its first event, or None.
        version: The software version that must continue it, or None.
        source: Where the version is known from: `own`, `log` or
            `only-version`, or why it is not known.
        age_ms: Time since the first event; `inf` if unknown.
    """

    resumes: model.RequestId | None
    version: ids.SoftwareVersion | None
    source: str
    age_ms: float = math.inf


class Resumptions:
    """Finds out which software version must continue interrupted streams.

    A stream whose version is not known is refused: its caller can start it
    again, but could not tell that its text was joined from two versions.
    """

    def __init__(
        self,
        origins: stream_origins.StreamOrigins,
        texts: stream_texts.StreamTexts,
        directory: directory_lib.TargetDirectory,
        read_targets: Callable[[], Awaitable[bool]],
        clock: clock_lib.Clock,
    ) -> None:
        """Initialises the lookup.

        Args:
            origins: Records of the streams.
            texts: Records of what resumable turns have generated.
            directory: Lists the targets.
            read_targets: Reads pending changes of that list.
            clock: Source of the current time.
        """
        self._origins = origins
        self._texts = texts
        self._directory = directory
        self._read_targets = read_targets
        self._clock = clock

    async def prepare(
        self,
        received: requests.CallerRequest,
        state: request_state.RequestState,
    ) -> tuple[Resumption, answers.Refusal | None]:
        """Restricts a request to the version that began its stream.

        Args:
            received: The request.
            state: Its state; its origin, service and earlier text are set
                here.

        Returns:
            What is known of the stream, and the refusal if it can't be
            continued.
        """
        until_ms = received.arrived_ms + state.route.objective_ms
        if received.resumes is None and state.route.is_retained:
            return _refuse(None, "not-named")
        if received.resumes is None:
            is_current = await self._update_targets(
                received.arrived_ms, min(until_ms, state.deadline_ms)
            )
            if not is_current:
                return _refuse(None, "targets-outdated", STORE_RETRY_MS)
            return self._apply_only_version(state)
        found = await self._origins.look_up(
            stream_origins.StreamId(state.organisation, received.resumes),
            min(until_ms, state.deadline_ms),
        )
        match found:
            case log_lib.Unavailable():
                return _refuse(
                    received.resumes, "store-unavailable", STORE_RETRY_MS
                )
            case stream_origins.NotRecorded():
                return _refuse(received.resumes, "not-recorded")
        resumed, refusal = self._apply(received.resumes, found, state)
        if refusal is None and state.route.is_retained:
            refusal = await self._read_text(received, state, until_ms)
        return resumed, refusal

    def record_events(
        self,
        received: requests.CallerRequest,
        state: request_state.RequestState,
    ) -> None:
        """Has the events of a turn recorded if it can be resumed and kept."""
        if not (state.route.is_retained and state.route.is_resumable):
            return
        request = received.resumes or received.id
        if len(request) > stream_origins.MAX_ID_CHARS:
            return
        stream = stream_origins.StreamId(state.organisation, request)
        after = received.last_event or None
        state.recorder = self._texts.recorder(stream, after)

    async def _read_text(
        self,
        received: requests.CallerRequest,
        state: request_state.RequestState,
        until_ms: float,
    ) -> answers.Refusal | None:
        """Reads the part of a turn that its caller has already.

        A turn that is kept without it would be continued from a wrong text.
        """
        assert received.resumes is not None
        if received.last_event is None:
            return _refuse(received.resumes, "event-id-unreadable")[1]
        if not received.last_event:
            return None
        text = await self._texts.look_up(
            stream_origins.StreamId(state.organisation, received.resumes),
            received.last_event,
            min(until_ms, state.deadline_ms),
        )
        match text:
            case log_lib.Unavailable():
                return _refuse(
                    received.resumes, "store-unavailable", STORE_RETRY_MS
                )[1]
            case stream_origins.NotRecorded():
                return _refuse(received.resumes, "text-not-recorded")[1]
        state.earlier_text = text
        return None

    async def _update_targets(self, since_ms: float, until_ms: float) -> bool:
        """Returns whether the list of targets is as it was at a time, or later.

        A host that is out of step does not know a version that has joined
        since, and that may have begun the stream.
        """
        if self._directory.current_ms < since_ms:
            left_ms = until_ms - self._clock.now_ms()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(clock_lib.to_seconds(left_ms)):
                    await self._read_targets()
        return self._directory.current_ms >= since_ms

    def _apply(
        self,
        resumes: model.RequestId,
        found: stream_origins.Found,
        state: request_state.RequestState,
    ) -> tuple[Resumption, answers.Refusal | None]:
        origin = found.origin
        listed = self._directory.version_of(origin.target)
        version = resumption.version_to_resume_at(origin, listed)
        if version is None:
            return _refuse(resumes, "target-changed")
        if origin.service not in {
            each.service for each in state.route.backends
        }:
            return _refuse(resumes, "service-changed")
        state.origin = origin
        state.service = origin.service
        source = "own" if found.is_own else "log"
        age_ms = math.inf
        if origin.begun_ms is not None:
            age_ms = self._clock.wall_ms() - origin.begun_ms
        return Resumption(resumes, version, source, age_ms), None

    def _apply_only_version(
        self, state: request_state.RequestState
    ) -> tuple[Resumption, answers.Refusal | None]:
        """Restricts a request whose caller does not name what it resumes.

        Its stream began within the timeout of the route. If only one version
        has served since then, that one began it.
        """
        max_age_ms = state.route.timeout_ms + DISCOVERY_MS
        since_ms = self._clock.now_ms() - max_age_ms
        version = self._directory.only_version(state.service, since_ms)
        if version is None or len(state.route.backends) > 1:
            return _refuse(None, "not-named")
        state.origin = resumption.Origin(state.service, None, version, None)
        return Resumption(None, version, "only-version"), None


def _refuse(
    resumes: model.RequestId | None,
    reason: str,
    retry_after_ms: float | None = None,
) -> tuple[Resumption, answers.Refusal]:
    refusal = answers.Refusal(
        answers.Cause.STREAM_UNKNOWN, reason, retry_after_ms
    )
    return Resumption(resumes, None, reason), refusal
