"""The admin socket: a JSON question a line, a JSON answer a line, over a Unix socket."""

import asyncio
import contextlib
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

Handler = Callable[[dict[str, Any]], Any]


async def serve(
    answers: dict[str, Handler], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(ConnectionError, ValueError):
        while line := await reader.readline():
            try:
                question = msgspec.json.decode(line, type=dict[str, Any])
                answer = answers.get(str(question.get("ask")))
                said = (
                    answer(question) if answer else {"error": f"expected one of {sorted(answers)} in 'ask'"}
                )
            except (msgspec.DecodeError, UnicodeDecodeError) as problem:
                said = {"error": f"not a JSON object: {problem}"}
            writer.write(msgspec.json.encode(said) + b"\n")
            await writer.drain()
    writer.close()


async def ask(path: str | Path, question: dict[str, Any], within: float = 1.0) -> Any:
    """A router's answer; OSError or TimeoutError if it is dead or does not answer within so many seconds."""
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
    """Each router's answer by name, all asked at once; None for the dead."""

    async def one(path: Path) -> Any:
        try:
            return await ask(path, question, within)
        except (OSError, TimeoutError, msgspec.DecodeError):
            return None

    answers = await asyncio.gather(*(one(path) for path in paths.values()))
    return dict(zip(paths, answers, strict=True))


def is_listening(path: str | Path) -> bool:
    """Whether a process has this socket open, be it one that answers or not. A dead one's socket refuses."""
    with socket.socket(socket.AF_UNIX) as probe:
        probe.setblocking(False)
        try:
            probe.connect(str(path))
        except BlockingIOError:  # it runs, and so many wait for it that no more can
            return True
        except OSError:
            return False
    return True


def socket_paths(directory: str | Path) -> dict[str, Path]:
    """Admin sockets in a run directory, by router."""
    return {path.stem: path for path in sorted(Path(directory).glob("*.sock"))}
