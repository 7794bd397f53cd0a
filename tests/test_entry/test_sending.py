"""Requests to targets whose answers are malformed or too large."""

from __future__ import annotations

import asyncio
import time
import tracemalloc
import unittest

import multidict

from mangotally.entry import connections, model, sending
from mangotally.platform import headers
from mangotally.util import clock as clock_lib
from tests import entry_fleet, raw_server

# Far above the time that a failure should take, and below the deadline.
MAX_FAILURE_S = 1.0
DEADLINE_MS = 4000.0
REQUEST_ID = model.RequestId("r1")
# Of 88 MB, 45 MB are in use otherwise. The measured memory includes the sending
# side of the test, which runs in this process as well.
MAX_MEMORY_BYTES = 24 * 1024 * 1024
# Longest processor time of a request while endless answers are received. It
# includes the sending side of the test, which runs in this process as well.
MAX_REQUEST_S = 0.5
# Bytes that socket buffers hold beyond the bytes that were read.
BUFFERED_BYTES = 8 * 1024 * 1024
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
STREAM_HEADERS = (
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
ANSWER = HEAD + b"Content-Length: 2\r\n\r\nok"
UNEXPECTED_ANSWER = ANSWER.replace(b"r1", b"r0").replace(b"ok", b"no")
EARLIER_ANSWER = UNEXPECTED_ANSWER
SWITCHING_PROTOCOLS = HEAD.replace(b"200 OK", b"101 Switching Protocols")
BODY_BYTES = 900_000
ENDLESS_INTERIM_ANSWERS = (b"", b"HTTP/1.1 100 Continue\r\n\r\n")
ENDLESS_BODY = (HEAD + b"\r\n", b"x")
ENDLESS_SMALL_CHUNKS = (CHUNKED, b"1\r\nx\r\n")


class SendingTest(unittest.IsolatedAsyncioTestCase):
    """Base class: a sender and one target."""

    async def asyncSetUp(self) -> None:
        self.clock = clock_lib.SystemClock()
        self.sender = sending.Sender(headers.NAMES, self.clock)
        await self.enterAsyncContext(self.sender)

    async def send(
        self,
        server: raw_server.RawServer,
        request_id: model.RequestId = REQUEST_ID,
    ) -> sending.Outcome:
        """Sends a request to a target and returns its outcome."""
        request = sending.Outgoing(
            request_id,
            "POST",
            "/",
            multidict.CIMultiDict({"Request-Id": request_id}),
            b"in",
            self.clock.now_ms() + DEADLINE_MS,
            lambda _: None,
        )
        address = server.url.removeprefix("http://")
        return await self.sender.send(address, request)

    async def check_endless(self, begin: bytes, repeated: bytes) -> int:
        """Checks that an endless answer is aborted early.

        Returns:
            How many bytes the target could send.
        """

        async def act(
            server: raw_server.RawServer,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await server.read_request(reader)
            await server.send_endlessly(writer, begin, repeated)

        async with raw_server.RawServer(act) as server:
            begin_s = time.monotonic()
            outcome = await self.send(server)
            took_s = time.monotonic() - begin_s
            await server.wait_until_closed()
        assert isinstance(outcome, sending.Broken), outcome
        self.assertFalse(outcome.is_timeout)
        self.assertLess(took_s, MAX_FAILURE_S)
        return server.sent_bytes


class EndlessHeadTest(SendingTest):
    """An endless head is not accepted, and its connection is closed."""

    async def test_status_line(self) -> None:
        await self._check(b"HTTP/1.1 200 ", b"x")

    async def test_header_name(self) -> None:
        await self._check(HEAD, b"x")

    async def test_header_value(self) -> None:
        await self._check(HEAD + b"X: ", b"x")

    async def test_folded_header(self) -> None:
        await self._check(HEAD + b"X: a\r\n", b" b\r\n")

    async def test_many_headers(self) -> None:
        await self._check(HEAD, b"X: a\r\n")

    async def test_blank_lines_before_the_status(self) -> None:
        await self._check(b"", b"\r\n")

    async def test_interim_answers(self) -> None:
        await self._check(*ENDLESS_INTERIM_ANSWERS)

    async def _check(self, begin: bytes, repeated: bytes) -> None:
        sent_bytes = await self.check_endless(begin, repeated)
        self.assertLess(sent_bytes, BUFFERED_BYTES)


class InterimAnswerTest(SendingTest):
    """An interim (1xx) answer is not accepted as the answer."""

    async def test_switching_protocols(self) -> None:
        await self.check_endless(SWITCHING_PROTOCOLS + b"\r\n", b"x")

    async def test_switching_protocols_with_upgrade_header(self) -> None:
        name = b"Connection: upgrade\r\nUpgrade: x\r\n\r\n"
        await self.check_endless(SWITCHING_PROTOCOLS + name, b"x")


class EndlessBodyTest(SendingTest):
    """An endless body is not accepted, and its connection is closed."""

    async def test_body_with_a_length(self) -> None:
        await self._check(HEAD + b"Content-Length: 999999999999\r\n\r\n", b"x")

    async def test_body_without_a_length(self) -> None:
        await self._check(*ENDLESS_BODY)

    async def test_chunks(self) -> None:
        await self._check(*ENDLESS_SMALL_CHUNKS)

    async def test_chunk_size(self) -> None:
        await self._check(CHUNKED, b"0")

    async def test_chunk_extension(self) -> None:
        await self._check(CHUNKED + b"1;", b"x")

    async def test_trailers(self) -> None:
        await self._check(CHUNKED + b"0\r\n", b"X: a\r\n")

    async def _check(self, begin: bytes, repeated: bytes) -> None:
        sent_bytes = await self.check_endless(begin, repeated)
        bound = 1024 * 1024 + BUFFERED_BYTES
        self.assertLess(sent_bytes, bound)


class LargeBodyTest(SendingTest):
    """A large answer within the limit is read completely."""

    async def test_with_a_length(self) -> None:
        await self._check(
            b"Content-Length: %d\r\n\r\n%s" % (BODY_BYTES, b"x" * BODY_BYTES)
        )

    async def test_in_chunks(self) -> None:
        chunk = b"3e8\r\n" + b"x" * 1000 + b"\r\n"
        chunks = chunk * (BODY_BYTES // 1000) + b"0\r\n\r\n"
        await self._check(b"Transfer-Encoding: chunked\r\n\r\n" + chunks)

    async def test_until_the_connection_is_closed(self) -> None:
        await self._check(b"\r\n" + b"x" * BODY_BYTES, is_closed=True)

    async def _check(self, rest: bytes, is_closed: bool = False) -> None:
        async def act(
            server: raw_server.RawServer,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await server.read_request(reader)
            writer.write(HEAD + rest)
            await writer.drain()
            if not is_closed:
                await reader.read()

        server = await self.enterAsyncContext(raw_server.RawServer(act))
        outcome = await self.send(server)
        assert isinstance(outcome, sending.Whole), outcome
        self.assertEqual(outcome.body, b"x" * BODY_BYTES)


class MalformedBodyTest(SendingTest):
    """A body that can't be parsed ends its request at once."""

    async def test_bad_size_of_the_first_chunk(self) -> None:
        await self._check(CHUNKED + b"zz\r\n")

    async def test_bad_size_of_a_later_chunk(self) -> None:
        await self._check(CHUNKED + b"1\r\nx\r\n", b"zz\r\n")

    async def test_large_trailer(self) -> None:
        await self._check(CHUNKED + b"0\r\nX: a", b"x" * 16_384)

    async def test_bad_size_in_a_stream(self) -> None:
        outcome = await self._send(
            HEAD + STREAM_HEADERS + b"7\r\nid: 1\n\n\r\n", b"zz\r\n"
        )
        assert isinstance(outcome, sending.Stream), outcome
        async with asyncio.timeout(MAX_FAILURE_S):
            chunks = [each async for each in outcome.chunks()]
        self.assertEqual(chunks, [b"id: 1\n\n"])
        assert outcome.failure is not None
        self.assertFalse(outcome.failure.is_timeout)

    async def _check(self, *writes: bytes) -> None:
        begin_s = time.monotonic()
        outcome = await self._send(*writes)
        took_s = time.monotonic() - begin_s
        assert isinstance(outcome, sending.Broken), outcome
        self.assertFalse(outcome.is_timeout)
        self.assertLess(took_s, MAX_FAILURE_S)

    async def _send(self, *writes: bytes) -> sending.Outcome:
        async def act(
            server: raw_server.RawServer,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await server.read_request(reader)
            for data in writes:
                writer.write(data)
                await asyncio.sleep(0.02)
            await reader.read()

        server = raw_server.RawServer(act)
        await self.enterAsyncContext(server)
        return await self.send(server)


class ManyEndlessAnswersTest(SendingTest):
    """Dozens of endless answers exhaust neither memory nor processor time."""

    async def test_others_beside_heads(self) -> None:
        self.assertLess(
            await self._longest_s(*ENDLESS_INTERIM_ANSWERS), MAX_REQUEST_S
        )

    async def test_others_beside_bodies(self) -> None:
        self.assertLess(await self._longest_s(*ENDLESS_BODY), MAX_REQUEST_S)

    async def test_others_beside_small_chunks(self) -> None:
        self.assertLess(
            await self._longest_s(*ENDLESS_SMALL_CHUNKS), MAX_REQUEST_S
        )

    async def test_memory_of_heads(self) -> None:
        self.assertLess(
            await self._peak_bytes(*ENDLESS_INTERIM_ANSWERS), MAX_MEMORY_BYTES
        )

    async def test_memory_of_bodies(self) -> None:
        self.assertLess(await self._peak_bytes(*ENDLESS_BODY), MAX_MEMORY_BYTES)

    async def test_memory_of_small_chunks(self) -> None:
        self.assertLess(
            await self._peak_bytes(*ENDLESS_SMALL_CHUNKS), MAX_MEMORY_BYTES
        )

    async def _peak_bytes(self, begin: bytes, repeated: bytes) -> int:
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        await self._longest_s(begin, repeated)
        return tracemalloc.get_traced_memory()[1]

    async def _longest_s(self, begin: bytes, repeated: bytes) -> float:
        """Returns the longest processor time of requests to a healthy target.

        Unlike elapsed time, it does not depend on other load of the machine.
        """
        # The debug mode of unit tests takes a stack trace for each callback.
        asyncio.get_running_loop().set_debug(False)
        requests_sent = asyncio.Event()

        async def act(
            server: raw_server.RawServer,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await server.read_request(reader)
            await requests_sent.wait()
            await server.send_endlessly(writer, begin, repeated)

        async def answer(
            server: raw_server.RawServer,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            while True:
                await server.read_request(reader)
                writer.write(ANSWER)

        faulty = await self.enterAsyncContext(raw_server.RawServer(act))
        healthy = await self.enterAsyncContext(raw_server.RawServer(answer))
        await self.send(healthy)
        pending: list[asyncio.Task[sending.Outcome]] = []
        for _ in range(48):
            pending.append(asyncio.create_task(self.send(faulty)))
            await entry_fleet.wait_for(
                lambda: len(faulty.requests) == len(pending)
            )
        requests_sent.set()
        longest_s = 0.0
        while not all(each.done() for each in pending):
            begin_s = time.process_time()
            self.assertIsInstance(await self.send(healthy), sending.Whole)
            longest_s = max(longest_s, time.process_time() - begin_s)
        for each in pending:
            self.assertIsInstance(each.result(), sending.Broken)
        return longest_s


class SmallChunksTest(SendingTest):
    """A body of very short chunks does not keep other tasks waiting."""

    async def test_other_tasks_run_meanwhile(self) -> None:
        chunks = 20_000
        turns = 0

        async def act(
            server: raw_server.RawServer,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await server.read_request(reader)
            writer.write(CHUNKED + b"1\r\nx\r\n" * chunks + b"0\r\n\r\n")

        async def count_turns() -> None:
            nonlocal turns
            while True:
                await asyncio.sleep(0)
                turns += 1

        server = await self.enterAsyncContext(raw_server.RawServer(act))
        counting = asyncio.create_task(count_turns())
        outcome = await self.send(server)
        counting.cancel()
        assert isinstance(outcome, sending.Whole), outcome
        self.assertEqual(outcome.body, b"x" * chunks)
        self.assertGreater(turns, chunks / (2 * connections.MAX_UNREAD_CHUNKS))


class BytesAfterAnswerTest(SendingTest):
    """Bytes after a complete answer belong to no request."""

    async def test_after_a_delay(self) -> None:
        await self._check(ANSWER, UNEXPECTED_ANSWER)

    async def test_with_the_end_of_the_body(self) -> None:
        await self._check(ANSWER[:-1], ANSWER[-1:] + UNEXPECTED_ANSWER)

    async def test_with_the_complete_answer(self) -> None:
        await self._check(ANSWER + UNEXPECTED_ANSWER)

    async def test_garbage_after_a_delay(self) -> None:
        await self._check(ANSWER, b"garbage")

    async def test_garbage_with_the_end_of_the_body(self) -> None:
        await self._check(ANSWER[:-1], ANSWER[-1:] + b"garbage")

    async def test_garbage_with_the_complete_answer(self) -> None:
        await self._check(ANSWER + b"garbage")

    async def test_blank_lines_after_a_delay(self) -> None:
        await self._check(ANSWER, b"\r\n")

    async def _check(self, *writes: bytes) -> None:
        async def act(
            server: raw_server.RawServer,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            while True:
                await server.read_request(reader)
                for data in writes:
                    writer.write(data)
                    await asyncio.sleep(0.02)

        server = await self.enterAsyncContext(raw_server.RawServer(act))
        for _ in range(2):
            outcome = await self.send(server)
            assert isinstance(outcome, sending.Whole), outcome
            self.assertEqual(outcome.body, b"ok")
            await asyncio.sleep(0.1)
        self.assertEqual(server.connections, 2)

    async def test_without_end(self) -> None:
        async def act(
            server: raw_server.RawServer,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await server.read_request(reader)
            writer.write(ANSWER)
            await asyncio.sleep(0.05)
            await server.send_endlessly(writer, b"", UNEXPECTED_ANSWER)

        server = await self.enterAsyncContext(raw_server.RawServer(act))
        self.assertIsInstance(await self.send(server), sending.Whole)
        await asyncio.sleep(0.1)
        await server.wait_until_closed()
        self.assertLess(server.sent_bytes, BUFFERED_BYTES)


class LateCopyTest(SendingTest):
    """An answer that comes again later belongs to no request."""

    async def _check(
        self, *writes: bytes, first: bytes = EARLIER_ANSWER
    ) -> sending.Outcome:
        """Returns the outcome of the second request of a connection.

        Args:
            writes: What the target sends after it has read that request.
            first: Its answer to the request before.
        """

        async def act(
            server: raw_server.RawServer,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await server.read_request(reader)
            writer.write(first)
            await server.read_request(reader)
            for data in writes:
                writer.write(data)
                await asyncio.sleep(0.02)

        server = await self.enterAsyncContext(raw_server.RawServer(act))
        earlier = await self.send(server, model.RequestId("r0"))
        self.assertIsInstance(earlier, sending.Whole)
        outcome = await self.send(server)
        self.assertEqual(server.connections, 1)
        return outcome

    async def _check_skipped(self, *writes: bytes) -> None:
        outcome = await self._check(*writes)
        assert isinstance(outcome, sending.Whole), outcome
        self.assertEqual(outcome.body, b"ok")

    # Requests that had run and were answered ended with 502 (issue 35).
    async def test_before_the_answer(self) -> None:
        await self._check_skipped(EARLIER_ANSWER, ANSWER)

    async def test_with_the_answer(self) -> None:
        await self._check_skipped(EARLIER_ANSWER + ANSWER)

    async def test_in_any_two_pieces(self) -> None:
        data = EARLIER_ANSWER + ANSWER
        for split in range(1, len(data), 7):
            await self._check_skipped(data[:split], data[split:])

    async def test_several_copies(self) -> None:
        await self._check_skipped(EARLIER_ANSWER * 2, EARLIER_ANSWER + ANSWER)

    async def test_copy_in_chunks(self) -> None:
        head = CHUNKED.replace(b"r1", b"r0")
        await self._check_skipped(head + b"2\r\nno\r\n", b"0\r\n\r\n" + ANSWER)

    async def test_copy_without_a_body(self) -> None:
        head = b"HTTP/1.1 204 No Content\r\nRequest-Id: r0\r\n\r\n"
        await self._check_skipped(head + ANSWER)

    async def test_large_copy(self) -> None:
        head = HEAD.replace(b"r1", b"r0")
        head += b"Content-Length: %d\r\n\r\n" % BODY_BYTES
        await self._check_skipped(head, b"x" * BODY_BYTES, ANSWER)

    async def test_oversize_copy(self) -> None:
        head = HEAD.replace(b"r1", b"r0")
        size = 2 * connections.MAX_BODY_BYTES
        head += b"Content-Length: %d\r\n\r\n" % size
        outcome = await self._check(head + b"x" * size, ANSWER)
        self.assertIsInstance(outcome, sending.Broken)

    async def test_copy_that_does_not_end(self) -> None:
        head = HEAD.replace(b"r1", b"r0") + b"Content-Length: 9\r\n\r\n"
        tasks = asyncio.all_tasks()
        outcome = await self._check(head + b"no")
        self.assertIsInstance(outcome, sending.Broken)
        await asyncio.sleep(0.05)
        self.assertLessEqual(asyncio.all_tasks(), tasks)

    async def test_copy_without_a_length(self) -> None:
        head = HEAD.replace(b"r1", b"r0") + b"\r\n"
        outcome = await self._check(head + b"no", ANSWER)
        self.assertIsInstance(outcome, sending.Broken)

    async def test_too_many_copies(self) -> None:
        copies = connections.MAX_SKIPPED_ANSWERS + 1
        outcome = await self._check(EARLIER_ANSWER * copies + ANSWER)
        self.assertIsInstance(outcome, sending.Broken)

    async def test_copy_without_the_answer(self) -> None:
        outcome = await self._check(EARLIER_ANSWER)
        self.assertIsInstance(outcome, sending.Broken)

    async def test_answer_to_no_request_of_the_connection(self) -> None:
        other = ANSWER.replace(b"r1", b"r9")
        outcome = await self._check(other + ANSWER)
        self.assertIsInstance(outcome, sending.Broken)


class RepeatedRefusalTest(SendingTest):
    """A refusal that is written again says nothing of the next request."""

    async def _check(self, refusal: bytes) -> sending.Outcome:
        """Returns the outcome of the request after a refused one.

        A connection answers its first request with the refusal, and writes
        that again before the answer to the next request.
        """

        async def act(
            server: raw_server.RawServer,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            is_first_connection = server.connections == 1
            await server.read_request(reader)
            writer.write(refusal if is_first_connection else ANSWER)
            await server.read_request(reader)
            writer.write(refusal + ANSWER)

        server = await self.enterAsyncContext(raw_server.RawServer(act))
        self.assertIsInstance(await self.send(server), sending.NotRun)
        return await self.send(server)

    async def test_without_an_id(self) -> None:
        for head in (
            b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n",
            b"HTTP/1.1 421 Misdirected Request\r\n",
        ):
            refusal = head + b"Content-Length: 0\r\n\r\n"
            self.assertIsInstance(await self._check(refusal), sending.Whole)

    async def test_with_the_id_of_another_request(self) -> None:
        head = b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
        refusal = head + b"Request-Id: r0\r\nContent-Length: 0\r\n\r\n"

        async def act(
            server: raw_server.RawServer,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await server.read_request(reader)
            writer.write(refusal)

        server = await self.enterAsyncContext(raw_server.RawServer(act))
        self.assertIsInstance(await self.send(server), sending.Broken)


class IdleConnectionTest(SendingTest):
    """Which idle connections are reused, and for how long."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.server = raw_server.RawServer(self._act)
        await self.enterAsyncContext(self.server)
        self.address = self.server.url.removeprefix("http://")
        self.head = HEAD
        self.delay_s = 0.0
        self.used_connections: list[int] = []
        self.is_reset = False

    async def test_is_reused(self) -> None:
        await self._send()
        self.assertTrue(self._is_idle())
        await self._send()
        self.assertEqual(self.used_connections, [1, 1])

    async def test_is_not_reused_just_before_its_timeout(self) -> None:
        self.head = HEAD + b"Keep-Alive: timeout=1\r\n"
        await self._send()
        self.assertTrue(self._is_idle())
        await asyncio.sleep(0.9)
        self.assertFalse(self._is_idle())
        await self._send()
        self.assertEqual(self.used_connections, [1, 2])

    async def test_timeout_counts_from_the_last_answer(self) -> None:
        self.head = HEAD + b"Keep-Alive: timeout=1, max=9\r\n"
        await self._send()
        await asyncio.sleep(0.5)
        await self._send()
        await asyncio.sleep(0.5)
        await self._send()
        self.assertEqual(self.used_connections, [1, 1, 1])

    async def test_timeout_of_zero(self) -> None:
        self.head = HEAD + b"Keep-Alive: timeout=0\r\n"
        await self._send()
        self.assertFalse(self._is_idle())

    async def test_malformed_timeouts_are_ignored(self) -> None:
        for value in (b"timeout=x", b"timeout=-1", b"timeout", b"=", b"9" * 99):
            self.head = HEAD + b"Keep-Alive: " + value + b"\r\n"
            await self._send()
        self.assertEqual(self.used_connections, [1] * 5)

    async def test_the_most_recently_used_is_reused_first(self) -> None:
        self.delay_s = 0.05
        await asyncio.gather(self._send(), self._send())
        self.used_connections.clear()
        for _ in range(3):
            await self._send()
        self.assertEqual(self.used_connections, [2, 2, 2])

    async def test_a_request_is_not_retried_after_a_reset(self) -> None:
        await self._send()
        self.is_reset = True
        outcome = await self.send(self.server)
        assert isinstance(outcome, sending.Broken), outcome
        self.assertEqual(self.server.connections, 1)
        self.assertEqual(len(self.server.requests), 2)

    async def test_a_connection_closed_by_the_target_is_not_idle(self) -> None:
        await self._send()
        self.server.close_connections()
        await asyncio.sleep(0.05)
        self.assertFalse(self._is_idle())

    def _is_idle(self) -> bool:
        return self.sender.connections.is_idle(self.address)

    async def _send(self) -> None:
        outcome = await self.send(self.server)
        assert isinstance(outcome, sending.Whole), outcome

    async def _act(
        self,
        server: raw_server.RawServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        number = server.connections
        while True:
            await server.read_request(reader)
            self.used_connections.append(number)
            if self.is_reset:
                writer.transport.abort()
                return
            await asyncio.sleep(self.delay_s * number)
            writer.write(self.head + b"Content-Length: 2\r\n\r\nok")
