"""Simulated clients of the routers, which record the outcome of each request."""

import asyncio
import contextlib
import json
import re
from collections.abc import Awaitable
from dataclasses import dataclass

from lifthead.standins.faults.proxy import reset_connection
from lifthead.standins.faults.settings import IDEMPOTENT
from lifthead.standins.record import Record

LISTEN_GRACE = 1.5  # seconds past the budget for which a client still listens, to measure late answers
CLOSE_RACE_WINDOW = 0.05  # seconds after sending in which the router may have closed the connection before
REUSABLE_OUTCOMES = ("whole", "429", "503", "504")  # after which a connection is used again
MAX_STREAM_PAUSE = 6.0  # seconds between events, after which the router should have ended the stream
MAX_STREAM_TIME = 15.0  # seconds from the first event on; sound streams are much shorter
CHARACTERS_PER_TOKEN = 4
_find_content_length = re.compile(rb"(?i)\r\ncontent-length: *(\d+)").search


@dataclass(frozen=True, slots=True)
class Request:
    """One request of a client. Times are in seconds."""

    name: str
    prompt: int  # tokens
    budget: float
    request_class: str = IDEMPOTENT
    session: str = "s"
    disconnects_after: float = 0.0  # 0 for a client that stays connected
    disconnects_by_reset: bool = False  # by a TCP reset instead of a close
    sent_share: float = 1.0  # share of the message that is sent; the client stays connected anyway


def encode_request(request: Request) -> bytes:
    content = "x" * (CHARACTERS_PER_TOKEN * request.prompt)
    chat = {"model": "m", "stream": True, "max_tokens": 9, "messages": [{"role": "user", "content": content}]}
    body = json.dumps(chat).encode()
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: {request.name}\r\n"
        f"X-Qos: {request.request_class}\r\nX-Object: {request.session}\r\n"
        f"X-Expires-In-Ms: {int(request.budget * 1000)}\r\n"
        f"X-Props: prompt_len={request.prompt},max_out=9\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def send_request(router: str, port: int, request: Request, record: Record) -> str:
    """Sends a request on a connection of its own and returns its outcome.

    The outcome is an error status, `whole` (a complete stream), `cut` (a stream that ends early), `stalled`
    (a stream that neither continues nor ends), `closed` or `reset` (the connection ends without an answer),
    `refused` (no connection), `left` (the client disconnects) or `nothing` (no answer in time).
    """
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        record.put("client", request=request.name, router=router, outcome="refused")
        return "refused"
    _write_request(writer, router, request, record)
    outcome = "left"
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(request.disconnects_after or None):
            outcome = await _read_outcome(reader, record, request)
    record.put("client", request=request.name, router=router, outcome=outcome)
    if request.disconnects_by_reset:
        reset_connection(writer)
    writer.transport.abort()
    return outcome


def _write_request(writer: asyncio.StreamWriter, router: str, request: Request, record: Record) -> None:
    data = encode_request(request)
    writer.write(data[: int(len(data) * request.sent_share)])
    budget_us = int(request.budget * 1e6)
    record.put(
        "asked", request=request.name, router=router, qos=request.request_class, budget=budget_us,
        whole=request.sent_share >= 1, prompt=request.prompt,
    )  # fmt: skip


class PersistentClient:
    """A client that sends its requests one after the other on one connection while the router keeps it open.

    A request that is sent while the router closes the connection is sent once more on a new one.
    """

    def __init__(self, router: str, port: int, record: Record) -> None:
        self._router, self._port, self._record = router, port, record
        self._lock = asyncio.Lock()
        self._connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(self, request: Request) -> str:
        """Sends a request and returns its outcome as `send_request` does.

        `lost` means that the router closed the connection later, without an answer.
        """
        async with self._lock:
            used_before = self._connection is not None and not self._connection[0].at_eof()
            outcome = await self._send_once(request)
            if used_before and outcome in ("closed", "reset"):
                outcome = await self._send_once(request)
            self._record.put("client", request=request.name, router=self._router, outcome=outcome)
            return outcome

    async def _send_once(self, request: Request) -> str:
        if self._connection is None or self._connection[0].at_eof():
            try:
                self._connection = await asyncio.open_connection("127.0.0.1", self._port)
            except OSError:
                return "refused"
        reader, writer = self._connection
        _write_request(writer, self._router, request, self._record)
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        outcome = await _read_outcome(reader, self._record, request)
        if outcome == "closed" and loop.time() - sent_at >= CLOSE_RACE_WINDOW:
            outcome = "lost"
        if outcome not in REUSABLE_OUTCOMES:
            writer.transport.abort()
            self._connection = None
        return outcome


async def hold_idle_connections(port: int, count: int, duration: float) -> None:
    """Opens connections that send nothing or part of a request, and holds them for `duration` seconds."""
    connections = []
    for number in range(count):
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            continue
        connections.append(writer)
        if number % 3 == 0:
            writer.write(b"POST /v1/chat/completions HTTP/1.1\r\nHost: b")
    await asyncio.sleep(duration)
    for writer in connections:
        writer.transport.abort()


async def _read_outcome(reader: asyncio.StreamReader, record: Record, request: Request) -> str:
    """Returns the outcome of `_read_answer`, or `nothing`, `reset` or `closed` if no answer came."""
    try:
        return await _read_answer(reader, record, request)
    except TimeoutError:
        return "nothing"
    except ConnectionResetError:
        return "reset"
    except (OSError, asyncio.IncompleteReadError):
        return "closed"


async def _read_answer(reader: asyncio.StreamReader, record: Record, request: Request) -> str:
    async with asyncio.timeout(request.budget + LISTEN_GRACE):
        head = await reader.readuntil(b"\r\n\r\n")
    status = head.split(b" ", 2)[1].decode()
    record.put("answering", request=request.name, status=int(status))
    if status != "200":
        if length := _find_content_length(head):
            await _read_within_pause(reader.readexactly(int(length[1])))
        return status
    try:
        async with asyncio.timeout(MAX_STREAM_TIME):
            while size := int(await _read_within_pause(reader.readline()) or b"0", 16):
                await _read_within_pause(reader.readexactly(size + 2))
            ended = await _read_within_pause(reader.readexactly(2)) == b"\r\n"
            return "whole" if ended else "cut"
    except TimeoutError:
        return "stalled"
    except (OSError, ValueError, asyncio.IncompleteReadError):
        return "cut"


async def _read_within_pause(reading: Awaitable[bytes]) -> bytes:
    """Awaits the next bytes of a stream for at most MAX_STREAM_PAUSE."""
    async with asyncio.timeout(MAX_STREAM_PAUSE):
        return await reading
