"""Races at the end of requests, connections, processes and watches: something ends while a reply or a release
is still due. Scripted stand-ins on loopback sockets force each race by waiting, writing, closing or resetting
at a known point. docs/crossings.md lists the races by code path."""

import asyncio
import copy
import os
import signal
import socket
import struct
import time

import pytest
from onenode import (
    CLOSE,
    END,
    EVENT,
    HANG,
    HEAD,
    PREFILLED,
    REFUSED_NOT_RUN,
    SETTINGS,
    STREAM,
    Client,
    Engine,
    chat,
    encode_chunk,
    exchange,
    list_update,
    run_with_node,
    target,
)
from program import READY_REQUEST, DiscoveryServer, NodeProcess, free_address, killed_at_end, start_process

from lifthead.engines.link import ConnectionPool
from lifthead.node.discovery import Watch
from lifthead.node.serve import ACCEPT_REQUESTS_FOR, open_listening_socket

SIGKILL_AFTER = 3.7  # seconds after SIGTERM, at the earliest
MAX_EVENT_DELAY = 0.3  # seconds from an event's arrival from its engine to its arrival at the client
LAST_CHUNK = b"0\r\n\r\n"


def idempotency_key_settings(within, window):
    """Returns settings whose class `ask` has idempotency keys, which engines remember for `window`
    microseconds."""
    settings = copy.deepcopy(SETTINGS)
    settings["Grades"][0] |= {"Effect": "keyed", "Group": within, "KeyTtl": window}
    return settings


def reset(writer):
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def run_with_process(scenario, path, **engines):
    async def run():
        async with NodeProcess(path, **engines) as node:
            return await asyncio.wait_for(scenario(node), 20)

    return asyncio.run(run())


# SIGTERM during a request.

STAGES = {  # where the request is at the signal, with engine scripts that wait there for the gate
    "at the prefill engine": lambda gate: ([gate, PREFILLED], [STREAM]),
    "before its first event": lambda gate: ([PREFILLED], [gate, STREAM]),
    "between two events": lambda gate: (
        [PREFILLED],
        [HEAD + encode_chunk(EVENT), gate, encode_chunk(EVENT + END) + LAST_CHUNK],
    ),
    "before the last chunk": lambda gate: (
        [PREFILLED],
        [HEAD + encode_chunk(EVENT + EVENT + END), gate, LAST_CHUNK],
    ),
}
SIGNALS = [
    (signal.SIGTERM,),
    (signal.SIGTERM, signal.SIGTERM),
    (signal.SIGHUP, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGHUP),
]


@pytest.mark.parametrize("at", STAGES)
@pytest.mark.parametrize("signals", SIGNALS)
def test_a_request_in_progress_at_the_signal_is_served_to_its_last_chunk(at, signals, tmp_path):
    async def scenario(node):
        async with Client(node.listen) as client:
            await client.send(chat(5000))
            waiting_engine = rd if "prefill" in at else wr
            async with asyncio.timeout(5):
                while not waiting_engine.requests:
                    await asyncio.sleep(0.005)
            for number in signals:
                node.process.send_signal(number)
            await asyncio.sleep(0.7)  # until the listener and idle connections are closed
            gate.set()
            answer = await client.answer()
        return answer[0], answer[2], answer[3], await node.exited(SIGKILL_AFTER - 0.7)

    gate = asyncio.Event()
    rd, wr = map(Engine, STAGES[at](gate))
    status, body, whole, (exit_code, took) = run_with_process(scenario, tmp_path, rd=rd, wr=wr)
    assert (status, body, whole, exit_code) == (200, EVENT + EVENT + END, True, 0)
    assert took < 1.5 and len(wr.lines("POST")) == 1 and not wr.lines("DELETE")
    # Only before the first event does the lease end with the held state not fetched, which takes one release.
    # It has no effect where the decode call has already arrived.
    assert len(rd.lines("DELETE")) == (at == "before its first event")


@pytest.mark.parametrize("sent", [0, 1, 40, -1])
def test_a_partial_request_at_the_signal_is_answered_if_it_is_complete_soon(sent, tmp_path):
    """The node has received nothing, one byte, a part of the head, or all but the last byte."""

    async def scenario(node):
        async with Client(node.listen) as client:
            whole = chat(100)
            await client.send(whole[:sent])
            await asyncio.sleep(0.1)
            node.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.3)
            await client.send(whole[sent:])
            answer = await client.answer()
        return answer[0], answer[3], (await node.exited(SIGKILL_AFTER))[0]

    assert run_with_process(scenario, tmp_path, wr=Engine()) == (200, True, 0)


@pytest.mark.parametrize("resting", [False, True])
def test_unread_requests_in_the_kernel_at_the_close_are_answered(resting, tmp_path):
    """The process is stopped while a request arrives and the time to close passes. The request is on a
    connection that is not accepted yet, or unread on an idle one."""

    async def scenario(node):
        async with Client(node.listen) as client:
            if resting:
                await client.send(READY_REQUEST)
                await client.answer()
            node.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.3)
            node.process.send_signal(signal.SIGSTOP)
            late_client = client if resting else await Client(node.listen).__aenter__()
            await late_client.send(chat(100))
            await asyncio.sleep(0.35)
            node.process.send_signal(signal.SIGCONT)
            answer = await late_client.answer()
        return answer[0], answer[3], (await node.exited(SIGKILL_AFTER))[0]

    assert run_with_process(scenario, tmp_path, wr=Engine()) == (200, True, 0)


def test_a_request_too_late_to_be_answered_is_rejected_and_not_sent_to_an_engine(tmp_path):
    """SIGKILL may come 3.7 s after SIGTERM; a late request at an engine that hangs would be lost then."""

    async def scenario(node):
        async with Client(node.listen) as client:
            await client.send(chat(100)[:50])
            await asyncio.sleep(0.05)
            node.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(ACCEPT_REQUESTS_FOR + 0.3)
            await client.send(chat(100)[50:])
            answer = await client.answer()
        return answer[0], await node.exited(SIGKILL_AFTER - ACCEPT_REQUESTS_FOR - 0.3)

    wr = Engine([HANG])
    status, (exit_code, _) = run_with_process(scenario, tmp_path, wr=wr)
    assert (status, exit_code) == (503, 0) and not wr.requests


def test_a_silent_connection_is_closed_before_a_request_would_be_too_late(tmp_path):
    """Clients may send on any open connection until SIGKILL."""

    async def scenario(node):
        async with Client(node.listen) as client:
            node.process.send_signal(signal.SIGTERM)
            return await client.closed(ACCEPT_REQUESTS_FOR + 0.2), await node.exited(1.0)

    closed, (exit_code, _) = run_with_process(scenario, tmp_path, wr=Engine())
    assert closed and exit_code == 0


@pytest.mark.parametrize("shut_after", [0.0, 5.0])
def test_pipelined_requests_at_the_stop_are_answered(shut_after):
    """They have been read already; they are served, or rejected if it is too late to serve them."""

    async def scenario(node):
        async with Client(node.address) as client:
            await client.send(b"".join(chat(100, trace=f"t{n}") for n in range(4)))
            await node.until(lambda: wr.requests)
            await asyncio.sleep(0.05)
            node.client_listener.stop(shut_after)
            await asyncio.sleep(0.05)
            gate.set()
            statuses = [(await client.answer())[0] for _ in range(4)]
            return statuses, await client.closed(1.0)

    gate = asyncio.Event()
    wr = Engine([gate, STREAM])
    statuses, closed = run_with_node(scenario, wr=wr)
    assert statuses == ([200] * 4 if shut_after else [200, 503, 503, 503]) and closed
    assert len(wr.requests) == (4 if shut_after else 1)


def test_clients_that_wait_for_a_connection_at_the_limit_are_served_after_a_stop():
    async def scenario(node):
        listening_socket = open_listening_socket(("127.0.0.1", 0))
        address = "{}:{}".format(*listening_socket.getsockname())
        accepting = asyncio.create_task(node.client_listener.accept(listening_socket, node._tasks))
        clients = [await Client(address).__aenter__() for _ in range(5)]
        for n, client in enumerate(clients):
            await client.send(chat(100, trace=f"t{n}"))
        await node.until(lambda: len(wr.requests) == 3)
        node.client_listener.stop(5.0)
        await asyncio.sleep(0.05)
        gate.set()
        statuses = [(await client.answer())[0] for client in clients]
        await asyncio.wait_for(accepting, 2.0)
        listening_socket.close()
        return statuses

    gate = asyncio.Event()
    wr = Engine([gate, STREAM])
    assert run_with_node(scenario, wr=wr, max_client_connections=3) == [200] * 5


# Exit while state is held or an answer is not delivered.


def test_no_exit_before_a_held_state_is_released(tmp_path):
    async def scenario(node):
        async with Client(node.listen) as client:
            await client.send(chat(5000, budget_ms="900"))
            async with asyncio.timeout(5):
                while not rd.requests:
                    await asyncio.sleep(0.005)
            node.process.send_signal(signal.SIGTERM)
            status = (await client.answer())[0]
        exit_code, _ = await node.exited(SIGKILL_AFTER)
        return status, exit_code, len(rd.lines("DELETE"))

    rd = Engine([HANG])
    status, exit_code, released = run_with_process(scenario, tmp_path, rd=rd, wr=Engine())
    assert status in (503, 504) and exit_code == 0
    assert 2 <= released <= 3  # the first may precede the engine's end of the prefill and prove nothing


EVENT_BLOCK = EVENT * 800


async def slow_client(address, data):
    """Connects a client with a small receive buffer."""
    host, _, port = address.rpartition(":")
    raw = socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
    raw.connect((host, int(port)))
    raw.setblocking(False)
    reader, writer = await asyncio.open_connection(sock=raw, limit=8192)
    writer.write(data)
    return reader, writer


def test_no_exit_before_a_client_that_pauses_has_its_answer(tmp_path):
    async def scenario(node):
        reader, writer = await slow_client(node.listen, chat(100))
        async with asyncio.timeout(5):
            while not wr.requests:
                await asyncio.sleep(0.005)
        node.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(1.4)
        got = b""
        while data := await reader.read(262_144):
            got += data
        writer.close()
        return got.endswith(LAST_CHUNK), got.count(EVENT), (await node.exited(SIGKILL_AFTER))[0]

    wr = Engine([HEAD, *[encode_chunk(EVENT_BLOCK)] * 60, encode_chunk(END) + LAST_CHUNK])
    assert run_with_process(scenario, tmp_path, wr=wr) == (True, 800 * 60, 0)


def test_a_client_that_reads_slowly_is_not_cut():
    """The kernel reports room only once a third of its send buffer is free. With such a client that may take
    far longer than the time after which a client that reads nothing is cut."""

    async def scenario(node):
        reader, writer = await slow_client(node.address, chat(100))
        got = b""
        while data := await reader.read(262_144):
            got += data
            await asyncio.sleep(0.04)
            if got.endswith(LAST_CHUNK):
                break
        writer.close()
        return got.endswith(LAST_CHUNK), got.count(EVENT)

    wr = Engine([HEAD, *[encode_chunk(EVENT_BLOCK)] * 45, encode_chunk(END) + LAST_CHUNK])
    assert run_with_node(scenario, wr=wr) == (True, 800 * 45)


# A close by the node while bytes arrive.


class ReadRecorder:
    """Records what the event loop reads from all connections."""

    def __init__(self, monkeypatch):
        self.read, feed = b"", asyncio.StreamReader.feed_data

        def record(reader, data):
            self.read += data
            feed(reader, data)

        monkeypatch.setattr(asyncio.StreamReader, "feed_data", record)


WAYS_TO_CLOSE = {
    "stop": lambda node: node.client_listener.stop(),
    "shed": lambda node: node.client_listener.evict_idle(),
    "idle": lambda node: node.client_listener._end_reading(node.client_listener._idle),
}


@pytest.mark.parametrize("end", WAYS_TO_CLOSE)
@pytest.mark.parametrize("turns", range(7))
def test_a_request_at_the_moment_of_a_close_is_answered_or_not_read(end, turns, monkeypatch):
    """The request arrives this many turns of the event loop after the close was requested."""

    async def scenario(node):
        async with Client(node.address) as client:
            await client.send(READY_REQUEST)
            await client.answer()
            await asyncio.sleep(0.15)
            WAYS_TO_CLOSE[end](node)
            for _ in range(turns):
                await asyncio.sleep(0)
            os.write(client.writer.get_extra_info("socket").fileno(), chat(100, trace="crossing"))
            try:
                answered = (await client.answer())[0]
            except (OSError, asyncio.IncompleteReadError):
                answered = 0
            return answered

    recorder = ReadRecorder(monkeypatch)
    wr = Engine()
    answered = run_with_node(scenario, wr=wr)
    read = b"X-Trace-Id: crossing" in recorder.read and b"POST" in recorder.read
    assert answered == (200 if read else 0) and len(wr.requests) == (answered == 200)


@pytest.mark.parametrize("surplus_bytes", [10, 3_000_000])
@pytest.mark.parametrize("malformed", [{"request_class": "none"}, {"Content_Length": "-5"}])
def test_an_error_answer_is_not_lost_to_a_reset_however_much_data_follows_the_request(
    malformed, surplus_bytes
):
    async def scenario(node):
        async with Client(node.address) as client:
            client.writer.write(chat(**malformed) + b"x" * surplus_bytes)
            await asyncio.sleep(0.1)
            return (await client.answer())[0], await client.closed(2.0)

    assert run_with_node(scenario, wr=Engine()) == (400, True)


@pytest.mark.parametrize("how", ["shut", "reset"])
@pytest.mark.parametrize("request_class", ["ask", "pay"])
def test_a_reused_connection_that_its_engine_ends_as_an_attempt_is_written_fails_no_request(
    how, request_class, monkeypatch
):
    """The end is in the kernel, where the event loop has not polled. Either the attempt is proven unsent or
    it may have run."""

    class Ends(Engine):
        async def connection(self, reader, writer):
            sockets.append(writer.get_extra_info("socket"))
            await super().connection(reader, writer)

    async def scenario(node):
        first = await exchange(node.address, chat(100, trace="t0"))
        armed.append(True)
        return first[0], (await exchange(node.address, chat(100, request_class=request_class, trace="t1")))[0]

    take, sockets, armed = ConnectionPool.acquire, [], []

    async def ended(self, fresh):
        connection = await take(self, fresh)
        if armed and connection.uses:
            armed.clear()
            for each in sockets:
                if how == "reset":  # the transport itself would close it a turn of the loop later
                    each.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    with open(os.devnull) as nothing:
                        os.dup2(nothing.fileno(), each.fileno())
                else:
                    each.shutdown(socket.SHUT_RDWR)
        return connection

    monkeypatch.setattr(ConnectionPool, "acquire", ended)
    one, two = Ends(), Ends()
    assert run_with_node(scenario, wr1=one, wr2=two) == (200, 200)
    request_ids = [fields["x-trace-id"] for _, fields in one.requests + two.requests]
    assert request_ids.count("t1") == 1


# Events in the same turn of the event loop as a deadline.

RELEASE_WAIT = 0.6  # seconds within which a state that may be held must be released
LOOP_BUSY_FOR = 0.3  # seconds for which the event loop is busy, past the client's deadline


@pytest.mark.parametrize("answer", [PREFILLED, HEAD + encode_chunk(EVENT), STREAM, REFUSED_NOT_RUN])
@pytest.mark.parametrize("prompt", [100, 5000])
def test_an_engines_answer_in_the_turn_of_the_deadline_gives_one_final_answer(answer, prompt):
    """Both are pending when the event loop polls again. Held state is released and nothing more is sent."""

    async def scenario(node):
        async with Client(node.address) as client:
            await client.send(chat(prompt, budget_ms="300"))
            await node.until(lambda: rd.requests or wr.requests)
            writers[-1].write(answer)  # the loop writes at once, then is busy until after the deadline
            time.sleep(LOOP_BUSY_FOR)
            status, *_ = await client.answer()
            sent = len(rd.lines("POST") + wr.lines("POST"))
            await asyncio.sleep(RELEASE_WAIT)
            return (
                status,
                len(rd.lines("POST") + wr.lines("POST")) - sent,
                dict(node.host.pending_requests),
            )

    class RecordsWriters(Engine):
        async def connection(self, reader, writer):
            writers.append(writer)
            await super().connection(reader, writer)

    writers = []
    rd, wr = RecordsWriters([HANG]), RecordsWriters([HANG])
    status, later, pending = run_with_node(scenario, rd=rd, wr=wr)
    assert status in (503, 504) and later == 0 and not pending
    released = len(rd.lines("DELETE") + wr.lines("DELETE"))
    assert 2 <= released <= 3 if prompt == 5000 else released == 0


def test_a_prefill_that_ends_as_it_is_abandoned_leaves_no_held_state():
    """The engine notices the close some milliseconds later, when the prefill is done. A release that arrived
    before released nothing."""

    class FinishesPrefillLate(Engine):
        held = False

        async def connection(self, reader, writer):
            try:
                await super().connection(reader, writer)
            finally:
                if self.disconnects and not self.held:
                    await asyncio.sleep(0.005)
                    self.held = True

        async def _answer_one(self, reader, writer):
            went_on = await super()._answer_one(reader, writer)
            self.held = self.held and not self.requests[-1][0].startswith("DELETE")
            return went_on

    async def scenario(node):
        async with Client(node.address) as client:
            await client.send(chat(5000))
            await node.until(lambda: rd.lines("POST"))
        await asyncio.sleep(RELEASE_WAIT)
        return rd.held

    rd = FinishesPrefillLate([HANG])
    assert run_with_node(scenario, rd=rd, wr=Engine()) is False
    assert 2 <= len(rd.lines("DELETE")) <= 3


def test_a_state_that_a_broken_prefill_may_have_left_is_released_while_connections_fail(monkeypatch):
    """The prefill was done when its connection broke, and the next attempts never reach an engine."""

    async def scenario(node):
        async with Client(node.address) as client:
            await client.send(chat(5000))
            await node.until(lambda: one.lines("POST") or two.lines("POST"))
            began = time.monotonic()
            await node.until(lambda: one.lines("DELETE") or two.lines("DELETE"))
            return time.monotonic() - began

    take = ConnectionPool.acquire

    async def never_up(self, fresh):
        if attempts and fresh is not None and asyncio.current_task() in attempts:
            return await take(self, fresh)
        if len(attempts) == 0:
            attempts.append(asyncio.current_task())
            return await take(self, fresh)
        if "_run_attempt" in str(asyncio.current_task().get_coro()):
            await asyncio.sleep(0.25)
            raise TimeoutError
        return await take(self, fresh)

    attempts = []
    monkeypatch.setattr(ConnectionPool, "acquire", never_up)
    one, two = Engine([reset, CLOSE]), Engine([reset, CLOSE])
    assert run_with_node(scenario, rd1=one, rd2=two, rd3=Engine([reset, CLOSE]), wr=Engine()) < 0.3 + 0.25


def test_a_connection_that_opens_in_the_turn_of_the_deadline_carries_no_attempt(monkeypatch):
    async def scenario(node):
        status, *_ = await exchange(node.address, chat(100, budget_ms="300"))
        await asyncio.sleep(0.3)
        return status

    take = ConnectionPool.acquire

    async def late_take(self, fresh):
        connection = await take(self, fresh)
        time.sleep(LOOP_BUSY_FOR)
        return connection

    monkeypatch.setattr(ConnectionPool, "acquire", late_take)
    wr = Engine()
    assert run_with_node(scenario, wr=wr) in (503, 504)
    assert len(wr.requests) == 0


@pytest.mark.parametrize("behind", [b"", STREAM, REFUSED_NOT_RUN, b"noise\r\n\r\n"])
def test_a_late_second_answer_reaches_nobody(behind):
    """It arrives some milliseconds after the first one, on a connection that may already be reused."""

    async def scenario(node):
        bodies = []
        async with Client(node.address) as client:
            for n in range(4):
                await client.send(chat(100, trace=f"t{n}"))
                bodies.append((await client.answer())[2])
                await asyncio.sleep(0.004 * n)
        return bodies

    wr = Engine([STREAM, 0.005, behind])
    assert run_with_node(scenario, wr=wr) == [EVENT + EVENT + END] * 4


def test_an_attempt_announces_no_more_time_than_the_client_has_left():
    """For a further attempt, and for a request that waited behind another one on its connection."""

    async def scenario(node):
        async with Client(node.address) as client:
            await client.send(chat(100, trace="t0") + chat(100, trace="t1"))
            await node.until(lambda: one.requests or two.requests)
            await asyncio.sleep(0.5)
            gate.set()
            for _ in range(2):
                await client.answer()

    gate = asyncio.Event()
    one, two = (Engine([gate, REFUSED_NOT_RUN], [STREAM]) for _ in range(2))
    run_with_node(scenario, wr1=one, wr2=two)
    budgets = [
        (fields["x-trace-id"], int(fields["x-expires-in-ms"])) for _, fields in one.requests + two.requests
    ]
    first, *later = sorted((budget_ms for _, budget_ms in budgets), reverse=True)
    assert first <= 2000 and len(later) >= 1 and max(later) <= 1520


# A client's disconnect while its request waits for probes.


@pytest.mark.parametrize("leave", ["close", "reset", "shut"])
def test_a_request_whose_client_left_during_probes_is_not_started(leave):
    settings = copy.deepcopy(SETTINGS)
    settings["PolicyLimits"]["Probes"] = True

    async def scenario(node):
        async with Client(node.address) as client:
            await client.send(chat(5000))
            await node.until(lambda: node.host.router.awaiting_probes)
            if leave == "reset":
                reset(client.writer)
            elif leave == "shut":
                client.writer.write_eof()
            else:
                client.writer.close()
            await node.until(lambda: not node.host.pending_requests)
            await asyncio.sleep(0.4)

    rd, wr = Engine([0.3, PREFILLED]), Engine()
    run_with_node(scenario, settings=settings, rd=rd, wr=wr)
    assert not rd.lines("POST") + wr.lines("POST")


# Streams.


def test_each_event_is_passed_on_at_once_however_the_stream_is_split():
    """One byte of the next event, or all but its last, delays no complete event."""

    async def scenario(node):
        lags = []
        async with Client(node.address) as client:
            await client.send(chat(100))
            await client.reader.readuntil(b"\r\n\r\n")
            got = b""
            for at, written in enumerate(steps, 1):
                began = time.monotonic()
                written.set()
                want = wanted[at - 1]
                async with asyncio.timeout(1.0):
                    while got.count(b"\n\n") < want:
                        got += await client.reader.read(65_536)
                lags.append(time.monotonic() - began)
        return max(lags)

    pieces = [EVENT + EVENT[:1], EVENT[1:-1], EVENT[-1:] + EVENT + EVENT, b": a comment\n\n" + EVENT[:40],
              EVENT[40:] + EVENT[:-2], EVENT[-2:]]  # fmt: skip
    wanted, whole = [], b""
    for piece in pieces:
        whole += piece
        wanted.append(whole.count(b"\n\n"))
    steps = [asyncio.Event() for _ in pieces]
    script = [HEAD]
    for step, piece in zip(steps, pieces, strict=True):
        script += [step, encode_chunk(piece)]
    steps[0].set()
    assert run_with_node(scenario, wr=Engine(script + [encode_chunk(END) + LAST_CHUNK])) < MAX_EVENT_DELAY / 3


def test_events_are_passed_on_in_time_while_the_event_loop_is_under_load():
    """There are forty streams at once, engines in the same event loop, and other work in slices of 20 ms."""
    stamp = 'data: {{"choices":[{{"index":0,"delta":{{"content":"{:.6f}"}},"finish_reason":null}}]}}\n\n'

    def written(writer):
        writer.write(encode_chunk(stamp.format(time.monotonic()).encode()))

    async def scenario(node):
        lags = []

        async def busy():
            while True:
                time.sleep(0.02)
                await asyncio.sleep(0.005)

        async def streamed(n):
            async with Client(node.address) as client:
                await client.send(chat(100, trace=f"t{n}"))
                await client.reader.readuntil(b"\r\n\r\n")
                while (line := await client.reader.readline()) != b"0\r\n":
                    if b'"content":"' in line:
                        then = float(line.partition(b'"content":"')[2].partition(b'"')[0])
                        lags.append(time.monotonic() - then)

        working = asyncio.create_task(busy())
        await asyncio.gather(*(streamed(n) for n in range(40)))
        working.cancel()
        return lags

    wr = Engine([HEAD, *[written, 0.03] * 20, encode_chunk(END) + LAST_CHUNK])
    lags = run_with_node(scenario, wr=wr)
    assert len(lags) == 800 and max(lags) < MAX_EVENT_DELAY


def test_a_slow_client_delays_no_other_stream():
    async def scenario(node):
        _, writer = await slow_client(node.address, chat(100, trace="slow"))
        await node.until(lambda: big_stream.requests)
        await asyncio.sleep(0.3)
        took = []
        for n in range(5):
            began = time.monotonic()
            assert (await exchange(node.address, chat(5000, trace=f"q{n}")))[3]
            took.append(time.monotonic() - began)
        writer.close()
        return max(took)

    big_stream = Engine([HEAD, *[encode_chunk(EVENT * 800)] * 100, encode_chunk(END) + LAST_CHUNK], [STREAM])
    assert run_with_node(scenario, wr=big_stream, rd=Engine([PREFILLED])) < MAX_EVENT_DELAY


@pytest.mark.parametrize(
    "end",
    [[CLOSE], [reset, CLOSE], [LAST_CHUNK], [encode_chunk(END[:-14]) + LAST_CHUNK],
     [encode_chunk(EVENT[:20]), CLOSE],
     [encode_chunk(EVENT[:20]) + LAST_CHUNK], [encode_chunk(END), CLOSE], [b"5\r\nabc"], [HANG]],
)  # fmt: skip
def test_an_incomplete_stream_gets_no_last_chunk_and_is_not_restarted(end):
    """It lacks `[DONE]` or the last chunk, or ends in half a line, a close, a reset or silence."""

    async def scenario(node):
        status, _, body, whole = await exchange(node.address, chat(100))
        return status, body.startswith(EVENT), whole

    wr = Engine([HEAD + encode_chunk(EVENT), 0.02, *end])
    assert run_with_node(scenario, wr=wr) == (200, True, False)
    assert len(wr.lines("POST")) == 1


# Repeated attempts.


@pytest.mark.parametrize("within", ["all", "zone"])
@pytest.mark.parametrize(("slow", "attempts"), [(0.0, 2), (0.6, 1)])
def test_no_attempt_is_repeated_once_the_window_of_its_key_is_over(within, slow, attempts, monkeypatch):
    """The window is open when the next attempt is decided on, and closes while its connection opens."""

    async def scenario(node):
        return (await exchange(node.address, chat(100)))[0]

    take, taken = ConnectionPool.acquire, []

    async def slow_again(self, fresh):
        taken.append(fresh)
        if len(taken) > 1:
            await asyncio.sleep(slow)
        return await take(self, fresh)

    monkeypatch.setattr(ConnectionPool, "acquire", slow_again)
    one, two = (Engine([0.1, CLOSE], [STREAM]) for _ in range(2))
    one.scripts, two.scripts = [[0.1, CLOSE]], [[0.1, CLOSE]]
    settings = idempotency_key_settings(within, 500_000)
    status = run_with_node(scenario, settings=settings, wr1=one, wr2=two)
    assert len(one.requests + two.requests) >= attempts
    if slow:
        assert len(one.requests + two.requests) == 1 and status == (503 if within == "all" else 504)


@pytest.mark.parametrize(
    ("script", "attempts", "status"),
    [([REFUSED_NOT_RUN], 2, 503), ([reset, CLOSE], 1, 504),
     ([b"HTTP/1.1 500 x\r\ncontent-length: 0\r\n\r\n"], 1, 504),
     ([b"HTTP/1.1 503 x\r\ncontent-length: 0\r\n\r\n"], 1, 504), ([HEAD, CLOSE], 1, 504)],
)  # fmt: skip
def test_a_non_idempotent_request_runs_again_only_where_no_attempt_may_have_run(script, attempts, status):
    async def scenario(node):
        return (await exchange(node.address, chat(100, request_class="pay")))[0]

    one, two = Engine(script), Engine(script)
    assert run_with_node(scenario, wr1=one, wr2=two) == status
    assert len(one.requests + two.requests) == attempts


# The list of engines.


def test_an_engine_that_starts_to_drain_while_a_connection_to_it_opens_gets_nothing(monkeypatch):
    async def scenario(node):
        async with Client(node.address) as client:
            await client.send(chat(100))
            await node.until(lambda: waiting)
            links = {uid: endpoint.link for uid, endpoint in node.host.endpoints.items()}
            draining = next(uid for uid, link in links.items() if link is waiting[0])
            node.update_engines(target(draining, node.addresses[draining], "draining"), is_snapshot=False)
            gate.set()
            return (await client.answer())[0], draining

    take, waiting, gate = ConnectionPool.acquire, [], asyncio.Event()

    async def slow(self, fresh):
        waiting.append(self)
        await gate.wait()
        return await take(self, fresh)

    monkeypatch.setattr(ConnectionPool, "acquire", slow)
    wrs = {"wr1": Engine(), "wr2": Engine()}
    status, draining = run_with_node(scenario, **wrs)
    assert status == 200 and not wrs[draining].requests


class DelayedDiscoveryServer(DiscoveryServer):
    """Sends its list only once the gate is open."""

    def __init__(self, gate):
        super().__init__()
        self.gate = gate

    async def serve(self, reader, writer):
        await self.gate.wait()
        await super().serve(reader, writer)


def test_a_new_process_sends_nothing_by_an_outdated_list_of_its_configuration(tmp_path):
    """The list of the discovery agent applies from the start; the list of the configuration may be
    outdated."""

    async def scenario():
        old, new, gate = Engine(), Engine(), asyncio.Event()
        servers = [await asyncio.start_server(each.connection, "127.0.0.1", 0) for each in (old, new)]
        at = ["{}:{}".format(*server.sockets[0].getsockname()) for server in servers]
        discovery, listen = DelayedDiscoveryServer(gate), free_address()
        await discovery.up(target("wr", at[0], "draining"), target("wr2", at[1]))
        known = {"rev": 1, "all": True, "targets": [target("wr", at[0])]}
        process = start_process(tmp_path / "c.json", listen, discovery.address, known=known)
        with killed_at_end(process):
            statuses = []
            async with asyncio.timeout(10):
                while not statuses or statuses[-1] != 200:
                    try:
                        async with Client(listen) as client:
                            await client.send(READY_REQUEST)
                            statuses.append((await client.answer())[0])
                    except OSError:
                        pass
                    if len(statuses) == 5:
                        gate.set()
                    await asyncio.sleep(0.02)
            status = (await exchange(listen, chat(100)))[0]
        for server in servers:
            server.close()
        discovery.down()
        return statuses[:4], status, len(old.requests)

    assert asyncio.run(scenario()) == ([503] * 4, 200, 0)


def test_a_new_process_without_discovery_serves_by_the_list_of_its_configuration(tmp_path):
    async def scenario():
        wr, listen = Engine(), free_address()
        server = await asyncio.start_server(wr.connection, "127.0.0.1", 0)
        at = "{}:{}".format(*server.sockets[0].getsockname())
        known = {"rev": 1, "all": True, "targets": [target("wr", at)]}
        process = start_process(tmp_path / "c.json", listen, free_address(), known=known)
        with killed_at_end(process):
            async with asyncio.timeout(4):
                while True:
                    try:
                        if (await exchange(listen, READY_REQUEST))[0] == 200:
                            break
                    except OSError:
                        pass
                    await asyncio.sleep(0.02)
            status = (await exchange(listen, chat(100)))[0]
        server.close()
        return status

    assert asyncio.run(scenario()) == 200


def run_watch(handlers, turn=False):
    """Returns what a watch receives from these handlers, one per call, and the versions that it asks from."""

    async def scenario():
        calls, received, paths = [], [], []

        async def serve(reader, writer):
            path = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1]
            paths.append(path.rpartition(b"=")[2].decode())
            calls.append(None)
            writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            await handlers[min(len(calls), len(handlers)) - 1](writer, watch)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        watch = Watch(address, 41, lambda update: received.append((update.version, len(update.entries))))
        task = asyncio.create_task(watch.run())
        async with asyncio.timeout(8):
            while not received or received[-1][0] != 99:
                await asyncio.sleep(0.01)
        task.cancel()
        server.close()
        return received, paths

    return asyncio.run(scenario())


def update_line(rev, *targets, is_snapshot=False):
    return encode_chunk(list_update(*targets, rev=rev, is_snapshot=is_snapshot) + b"\n")


DRAINING_TARGET = target("wr", "127.0.0.1:1", "draining")


async def final_update(writer, watch):
    writer.write(update_line(99))
    await asyncio.sleep(3)


async def half_an_object(writer, watch):
    writer.write(update_line(43, DRAINING_TARGET) + encode_chunk(list_update(DRAINING_TARGET, rev=44)[:25]))
    await writer.drain()


async def half_an_object_and_a_reset(writer, watch):
    writer.write(update_line(43, DRAINING_TARGET) + encode_chunk(list_update(DRAINING_TARGET, rev=44)[:25]))
    await asyncio.sleep(0.05)
    reset(writer)


async def a_whole_list_in_place_of_changes(writer, watch):
    writer.write(update_line(43, DRAINING_TARGET) + update_line(44, DRAINING_TARGET, is_snapshot=True))


@pytest.mark.parametrize("first", [half_an_object, half_an_object_and_a_reset])
def test_an_update_that_the_end_of_a_call_cuts_is_requested_again(first):
    """The next call asks from the current version, so it also brings changes from the gap between the
    calls."""
    received, paths = run_watch([first, final_update])
    assert received == [(43, 1), (99, 0)] and paths == ["41", "43"]


def test_a_snapshot_in_place_of_changes_is_applied():
    received, paths = run_watch([a_whole_list_in_place_of_changes, final_update])
    assert received == [(43, 1), (44, 1), (99, 0)] and paths == ["41", "44"]


def test_buffered_updates_from_an_old_address_are_not_applied():
    """The agent at the old address may have an older list than the one at the new address."""

    async def scenario():
        received, gate = [], asyncio.Event()

        async def old(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + update_line(43, DRAINING_TARGET)
            )
            await gate.wait()
            writer.write(update_line(44, DRAINING_TARGET))
            await asyncio.sleep(1)
            writer.close()

        async def new(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + update_line(99))
            await asyncio.sleep(1)
            writer.close()

        servers = [await asyncio.start_server(each, "127.0.0.1", 0) for each in (old, new)]
        addresses = [server.sockets[0].getsockname() for server in servers]
        watch = Watch(addresses[0], 41, lambda update: received.append(update.version))
        task = asyncio.create_task(watch.run())
        async with asyncio.timeout(5):
            while received != [43]:
                await asyncio.sleep(0.01)
            gate.set()
            await asyncio.sleep(0)
            time.sleep(0.05)
            watch.set_address(addresses[1])
            while 99 not in received:
                await asyncio.sleep(0.01)
        task.cancel()
        for server in servers:
            server.close()
        return received

    assert asyncio.run(scenario()) == [43, 99]
