"""A stand-in billing system that accepts each batch once, by PUT.

It can be slow, fail, or accept a batch without an answer.
"""

import asyncio
import contextlib
import json
import random
from pathlib import Path

from lifthead.standins.record import Record
from lifthead.standins.wire import ServerConnection


class Billing:
    """The server.

    `fails` is the share of batches that it refuses and `silent` the share that it accepts without an answer.
    `slow` is the longest delay in seconds.
    """

    def __init__(
        self, directory: Path, seed: int = 1, fails: float = 0.0, silent: float = 0.0, slow: float = 0.0
    ):
        self.directory = directory
        directory.mkdir(parents=True, exist_ok=True)
        self._record = Record(directory / "billing.jsonl")
        self._rng = random.Random(seed)
        self._fails, self._silent, self._slow = fails, silent, slow
        self.accepted: dict[str, str] = {}  # digests of the accepted batches

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = ServerConnection(reader, writer)
        request = await connection.read_request()
        if request is None or request.method != "PUT":
            writer.close()
            return
        batch, digest = request.path.rpartition("/")[2], request.headers["x-batch-digest"]
        await asyncio.sleep(self._rng.uniform(0, self._slow))
        if self._rng.random() < self._fails:
            self._record.put("failed", batch=batch)
            connection.send_response(503, b"{}")
        elif self.accepted.setdefault(batch, digest) != digest:
            self._record.put("conflict", batch=batch, digest=digest, first=self.accepted[batch])
            connection.send_response(409, b"{}")
        else:
            (self.directory / f"{batch}.parquet").write_bytes(request.body)
            (self.directory / f"{batch}.json").write_text(
                json.dumps(json.loads(request.headers["x-batch-manifest"]))
            )
            self._record.put("landed", batch=batch, digest=digest)
            if self._rng.random() >= self._silent:
                connection.send_response(200, b"{}")
        with contextlib.suppress(ConnectionError):
            await writer.drain()
        writer.close()
