"""The admin socket: one JSON question a line, one JSON answer a line, over a Unix socket."""

import asyncio
import contextlib
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

Handler = Callable[[dict[str, Any]], Any]


async def serve(
    handlers: dict[str, Handler], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answers the questions of one connection, each by the handler that its field `ask` names."""
    with contextlib.suppress(ConnectionError, ValueError):
        while line := await reader.readline():
            try:
                question = msgspec.json.decode(line, type=dict[str, Any])
                handler = handlers.get(str(question.get("ask")))
                answer = (
                    handler(question)
                    if handler
                    else {"error": f"expected one of {sorted(handlers)} in 'ask'"}
                )
            except (msgspec.DecodeError, UnicodeDecodeError) as problem:
                answer = {"error": f"not a JSON object: {problem}"}
            writer.write(msgspec.json.encode(answer) + b"\n")
            await writer.drain()
    writer.close()


async def ask(path: str | Path, question: dict[str, Any], within: float = 1.0) -> Any:
    """A router's answer; OSError or TimeoutError if it is dead or doesn't answer within so many seconds."""
    writer = None
    try:
        async with asyncio.timeout(within):
            reader, writer = await asyncio.open_unix_connection(str(path), limit=1 << 24)
            writer.write(msgspec.json.encode(question) + b"\n")
            line = await reader.readline()
            if not line:
                raise ConnectionResetError("no answer")
            return msgspec.json.decode(line)
    finally:
        if writer:
            writer.close()


async def ask_all(paths: dict[str, Path], question: dict[str, Any], within: float = 1.0) -> dict[str, Any]:
    """Each router's answer by the router's name, all asked at once; None for a router that doesn't answer."""

    async def ask_one(path: Path) -> Any:
        try:
            return await ask(path, question, within)
        except (OSError, TimeoutError, msgspec.DecodeError):
            return None

    answers = await asyncio.gather(*(ask_one(path) for path in paths.values()))
    return dict(zip(paths, answers, strict=True))


def is_listening(path: str | Path) -> bool:
    """Whether a process has this socket open, whether or not it answers. A dead process's socket refuses."""
    with socket.socket(socket.AF_UNIX) as client:
        client.setblocking(False)
        try:
            client.connect(str(path))
        except BlockingIOError:  # the process runs, and its queue of connections is full
            return True
        except OSError:
            return False
    return True


def socket_paths(directory: str | Path) -> dict[str, Path]:
    """The admin sockets in a run directory, by router."""
    return {path.stem: path for path in sorted(Path(directory).glob("*.sock"))}
