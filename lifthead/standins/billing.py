"""A stand-in billing system: takes batches by PUT, once each; slow, failing, or silent after it has taken
one."""

import asyncio
import contextlib
import json
import random
from pathlib import Path

from lifthead.standins.record import Record
from lifthead.standins.wire import ServerConnection


class Billing:
    """`fails`: part of the batches that it refuses; `silent`: part that it takes and does not answer."""

    def __init__(
        self, directory: Path, seed: int = 1, fails: float = 0.0, silent: float = 0.0, slow: float = 0.0
    ):
        self.directory = directory
        directory.mkdir(parents=True, exist_ok=True)
        self._record = Record(directory / "billing.jsonl")
        self._chance = random.Random(seed)
        self._fails, self._silent, self._slow = fails, silent, slow
        self.landed: dict[str, str] = {}  # digest by batch

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        server = ServerConnection(reader, writer)
        asked = await server.read_request()
        if asked is None or asked.method != "PUT":
            writer.close()
            return
        batch, digest = asked.path.rpartition("/")[2], asked.headers["x-batch-digest"]
        await asyncio.sleep(self._chance.uniform(0, self._slow))
        if self._chance.random() < self._fails:
            self._record.put("failed", batch=batch)
            server.send_response(503, b"{}")
        elif self.landed.setdefault(batch, digest) != digest:
            self._record.put("conflict", batch=batch, digest=digest, first=self.landed[batch])
            server.send_response(409, b"{}")
        else:
            (self.directory / f"{batch}.parquet").write_bytes(asked.body)
            (self.directory / f"{batch}.json").write_text(
                json.dumps(json.loads(asked.headers["x-batch-manifest"]))
            )
            self._record.put("landed", batch=batch, digest=digest)
            if self._chance.random() >= self._silent:
                server.send_response(200, b"{}")
        with contextlib.suppress(ConnectionError):
            await writer.drain()
        writer.close()
