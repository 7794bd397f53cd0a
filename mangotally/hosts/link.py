"""Long-lived streams between hosts, each of which carries many calls."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
from typing import TYPE_CHECKING, Any, Self

import grpc
import grpc.aio
from returns import result

from mangotally import errors
from mangotally.hosts import (
    frames,
    hosts_pb2,
    hosts_pb2_grpc,
    messages,
    router,
)
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from mangotally.hosts import credentials as credentials_lib

logger = logging.getLogger(__name__)

# Limits and timeouts of the streams. The client's keepalive pings detect a
# connection on which packets are lost without an error.
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
KEEPALIVE_MS = 2000
SERVER_KEEPALIVE_MS = 20_000
# Log fields that hold text from another host are truncated.
MAX_REASON_CHARS = 300
MAX_KIND_CHARS = 64
COMMON_OPTIONS = (
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_MS),
    ("grpc.http2.ping_timeout_ms", KEEPALIVE_MS),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.http2.min_ping_interval_without_data_ms", KEEPALIVE_MS // 2),
)
CLIENT_OPTIONS = (*COMMON_OPTIONS, ("grpc.keepalive_time_ms", KEEPALIVE_MS))
SERVER_OPTIONS = (
    *COMMON_OPTIONS,
    ("grpc.keepalive_time_ms", SERVER_KEEPALIVE_MS),
    ("grpc.so_reuseport", 0),
)
_AWAITED_AT_SHUTDOWN = frozenset(
    {messages.RunTurn.__name__, messages.RunCall.__name__}
)
_END = object()


class Link:
    """The client side of the stream to one host."""

    def __init__(
        self,
        address: str,
        credentials: credentials_lib.HostCredentials | None = None,
    ) -> None:
        """Creates a link that connects on first use.

        Args:
            address: Address of the host as `ip:port`.
            credentials: TLS credentials, or None for plain TCP.
        """
        self.address = address
        self._credentials = credentials
        self._channel: grpc.aio.Channel | None = None
        self._writer: frames.FrameWriter | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._calls: dict[int, asyncio.Queue[Any]] = {}
        self._call_ids = itertools.count(1)

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Closes the stream; calls in flight fail."""
        await self._close()

    @property
    def is_open(self) -> bool:
        """Whether the stream to the host is open."""
        return self._writer is not None

    async def stream(self, message: Any) -> AsyncIterator[errors.Outcome[Any]]:
        """Sends a message and yields its answers."""
        writer = self._connect()
        call_id = next(self._call_ids)
        answers: asyncio.Queue[Any] = asyncio.Queue()
        self._calls[call_id] = answers
        writer.put(call_id, hosts_pb2.Frame.REQUEST, message)
        finished = False
        try:
            while True:
                answer = await answers.get()
                if answer is _END:
                    finished = True
                    return
                yield answer
        finally:
            self._calls.pop(call_id, None)
            if not finished:
                writer.put(call_id, hosts_pb2.Frame.CANCEL)

    def _connect(self) -> frames.FrameWriter:
        if self._writer is not None:
            return self._writer
        if self._credentials is None:
            channel = grpc.aio.insecure_channel(self.address, CLIENT_OPTIONS)
        else:
            name = self._credentials.name
            channel = grpc.aio.secure_channel(
                self.address,
                self._credentials.channel_credentials(),
                (*CLIENT_OPTIONS, ("grpc.ssl_target_name_override", name)),
            )
        call = hosts_pb2_grpc.HostsStub(channel).Exchange()
        writer = frames.FrameWriter(call.write, self._close_full_stream)
        self._channel = channel
        self._writer = writer
        self._tasks = [
            asyncio.create_task(self._run_until_closed(writer, writer.run())),
            asyncio.create_task(
                self._run_until_closed(writer, self._read(call))
            ),
        ]
        return writer

    def _close_full_stream(self) -> None:
        logger.warning("link_full", extra={"peer": self.address})
        self._disconnect()

    async def _read(self, call: Any) -> None:
        async for batch in call:
            for frame in batch.frames:
                self._deliver(frame)

    def _deliver(self, frame: Any) -> None:
        answers = self._calls.get(frame.call_id)
        if answers is None:
            return
        if frame.kind == hosts_pb2.Frame.END:
            answers.put_nowait(_END)
            return
        answers.put_nowait(decode_frame(frame))

    async def _run_until_closed(
        self, writer: frames.FrameWriter, work: Any
    ) -> None:
        """Closes the stream when its reader or writer ends.

        A stream that has been opened in the meantime is left open.
        """
        with contextlib.suppress(asyncio.CancelledError):
            try:
                await work
            except grpc.aio.AioRpcError as error:
                self._log_failure(error)
        if self._writer is writer:
            self._disconnect()

    def _log_failure(self, error: grpc.aio.AioRpcError) -> None:
        if self._writer is None or error.code() is grpc.StatusCode.CANCELLED:
            return
        logger.warning(
            "link_failed",
            extra={
                "peer": self.address,
                "code": error.code().name,
                "reason": (error.details() or "")[:MAX_REASON_CHARS],
            },
        )

    def _disconnect(self) -> None:
        calls, self._calls = self._calls, {}
        if self._writer is None:
            return
        self._writer = None
        logger.info("link_closed", extra={"peer": self.address})
        for answers in calls.values():
            answers.put_nowait(
                errors.failed(
                    errors.Reason.UNAVAILABLE,
                    "The connection to another host was lost.",
                    errors.Ran.MAY_HAVE_RUN,
                )
            )
            answers.put_nowait(_END)
        tasks, self._tasks = self._tasks, []
        for task in tasks:
            task.cancel()
        channel, self._channel = self._channel, None
        if channel is not None:
            closing = asyncio.ensure_future(channel.close())
            self._tasks.append(closing)

    async def _close(self) -> None:
        self._disconnect()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def decode_frame(frame: Any) -> errors.Outcome[Any]:
    """Returns the outcome that a frame contains."""
    match messages.registry.decode(frame.type, frame.body):
        case result.Success(message):
            return router.to_outcome(message)
        case result.Failure(reason):
            return errors.failed(
                errors.Reason.INTERNAL, reason, errors.Ran.MAY_HAVE_RUN
            )
    raise errors.InvariantError("unreachable")


class Server(hosts_pb2_grpc.HostsServicer):
    """The server side of the streams from all other hosts."""

    def __init__(
        self,
        handlers: router.Router,
        address: str,
        credentials: credentials_lib.HostCredentials | None = None,
    ) -> None:
        """Creates a server that listens once it is entered."""
        self._router = handlers
        self._address = address
        self._credentials = credentials
        self._server: grpc.aio.Server | None = None
        self._writers: set[frames.FrameWriter] = set()
        self._awaited: set[asyncio.Task[None]] = set()

    async def wait_idle(self) -> None:
        """Waits until the turns and calls of other hosts have been answered."""
        while self._awaited:
            await asyncio.wait(self._awaited)
        for writer in list(self._writers):
            await writer.flush()

    async def __aenter__(self) -> Self:
        """Starts listening.

        Raises:
            OSError: The address cannot be used.
        """
        server = grpc.aio.server(options=SERVER_OPTIONS)
        hosts_pb2_grpc.add_HostsServicer_to_server(self, server)
        try:
            self._add_port(server)
        except RuntimeError as error:
            raise OSError(f"cannot listen on {self._address}") from error
        await server.start()
        self._server = server
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Stops listening."""
        if self._server is not None:
            await self._server.stop(grace=None)

    def _add_port(self, server: grpc.aio.Server) -> None:
        if self._credentials is None:
            server.add_insecure_port(self._address)
        else:
            server.add_secure_port(
                self._address, self._credentials.server_credentials()
            )

    async def Exchange(  # noqa: N802
        self, request_iterator: Any, context: Any
    ) -> None:
        """Serves one stream; the method name is set by the `.proto` file."""
        if self._credentials is not None and not self._credentials.is_trusted(
            context.auth_context()
        ):
            logger.warning("host_refused", extra={"peer": context.peer()})
            await context.abort(
                grpc.StatusCode.UNAUTHENTICATED, "not a host of this fleet"
            )
        peer = context.peer()
        serving = asyncio.current_task()
        assert serving is not None
        cancel_stream = serving.cancel

        def close_full_stream() -> None:
            logger.warning("link_full", extra={"peer": peer})
            cancel_stream()

        writer = frames.FrameWriter(context.write, close_full_stream)
        writing = asyncio.create_task(writer.run())
        self._writers.add(writer)
        tasks: dict[int, asyncio.Task[None]] = {}
        try:
            async for batch in request_iterator:
                for frame in batch.frames:
                    self._handle_frame(frame, writer, tasks, peer)
        finally:
            self._writers.discard(writer)
            writing.cancel()
            for task in list(tasks.values()):
                task.cancel()

    def _handle_frame(
        self,
        frame: Any,
        writer: frames.FrameWriter,
        tasks: dict[int, asyncio.Task[None]],
        peer: str,
    ) -> None:
        call_id = frame.call_id
        if frame.kind == hosts_pb2.Frame.CANCEL:
            task = tasks.get(call_id)
            if task is not None:
                task.cancel()
            return
        task = asyncio.create_task(self._serve(frame, writer, peer))
        tasks[call_id] = task
        task.add_done_callback(lambda _: tasks.pop(call_id, None))
        if frame.type in _AWAITED_AT_SHUTDOWN:
            self._awaited.add(task)
            task.add_done_callback(self._awaited.discard)

    async def _serve(
        self, frame: Any, writer: frames.FrameWriter, peer: str
    ) -> None:
        item = hosts_pb2.Frame.ITEM
        match decode_frame(frame):
            case result.Success(message):
                await self._answer(frame.call_id, message, writer)
            case failed:
                logger.warning(
                    "frame_refused",
                    extra={
                        "peer": peer,
                        "kind": frame.type[:MAX_KIND_CHARS],
                        "reason": failed.failure().detail[:MAX_REASON_CHARS],
                    },
                )
                writer.put(frame.call_id, item, failed.failure())
        writer.put(frame.call_id, hosts_pb2.Frame.END)

    async def _answer(
        self, call_id: int, message: Any, writer: frames.FrameWriter
    ) -> None:
        item = hosts_pb2.Frame.ITEM
        try:
            async for answer in self._router.handle(message):
                writer.put(call_id, item, router.to_message(answer))
        except Exception:
            logger.exception(
                "handler_failed", extra={"kind": type(message).__name__}
            )
            failure = errors.Failure(
                errors.Reason.INTERNAL,
                "Another host failed to handle the message.",
                errors.Ran.MAY_HAVE_RUN,
            )
            writer.put(call_id, item, failure)


async def first_answer(
    answers: AsyncIterator[errors.Outcome[Any]], timeout_ms: float
) -> errors.Outcome[Any]:
    """Returns the first answer, or a failure after a timeout."""
    try:
        async with asyncio.timeout(clock_lib.to_seconds(timeout_ms)):
            async for answer in answers:
                return answer
    except TimeoutError:
        return errors.failed(
            errors.Reason.UNAVAILABLE,
            "Another host did not answer in time.",
            errors.Ran.MAY_HAVE_RUN,
        )
    return errors.failed(
        errors.Reason.UNAVAILABLE,
        "Another host sent no answer.",
        errors.Ran.MAY_HAVE_RUN,
    )
