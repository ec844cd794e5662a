"""Exports batches as Parquet with a manifest. The billing system takes each batch exactly once: a batch is
planned in the ledger, sent under an id that never stands for anything else, as often as necessary, and
recorded as delivered once it has been accepted."""

import io
import json
import os
from hashlib import blake2b
from pathlib import Path

import msgspec
import pyarrow as pa
import pyarrow.parquet as pq

from lifthead.engines.link import ConnectionPool
from lifthead.http1 import encode_head
from lifthead.ledger.entries import Correction, Entry, Usage

SCHEMA_VERSION = 1
FIELDS = (
    ("number", pa.int64()),
    ("kind", pa.string()),
    ("id", pa.string()),
    ("at", pa.int64()),
    ("period", pa.string()),
    ("of_period", pa.string()),
    ("tenant", pa.string()),
    ("group", pa.string()),
    ("ended", pa.string()),
    ("reqs", pa.int64()),
    ("prompt", pa.int64()),
    ("kept", pa.int64()),
    ("sent", pa.int64()),
    ("made", pa.int64()),
    ("forwards", pa.int64()),
    ("resumes", pa.int64()),
    ("read_anew", pa.int64()),
    ("billed_prompt", pa.int64()),
    ("billed_answer", pa.int64()),
    ("why", pa.string()),
    ("reverses", pa.string()),
)
SCHEMA = pa.schema(FIELDS, metadata={"lifthead_schema": str(SCHEMA_VERSION)})


def row(number: int, entry: Usage | Correction) -> dict:
    """The columns of one entry in an export."""
    fields = msgspec.structs.asdict(entry)
    if isinstance(entry, Correction):
        fields |= {
            "kind": "correction",
            "billed_prompt": entry.prompt,
            "billed_answer": entry.answer,
            "prompt": 0,
        }
        del fields["answer"]
    else:
        fields |= {"kind": "usage", "reqs": 1}
    return {"number": number, **fields}


def digest(rows: list[dict]) -> str:
    """A digest of the rows' content, independent of the Parquet writer."""
    values = [[each.get(name) for name, _ in FIELDS] for each in rows]
    return blake2b(json.dumps(values).encode(), digest_size=16).hexdigest()


def batch_file(batch: str, ledger: str, entries: list[tuple[int, Entry]]) -> tuple[bytes, dict]:
    """The Parquet bytes of a batch and its manifest."""
    rows = [row(number, entry) for number, entry in entries if isinstance(entry, (Usage, Correction))]
    table = pa.Table.from_pylist(
        [{name: each.get(name) for name, _ in FIELDS} for each in rows], schema=SCHEMA
    )
    buffer = io.BytesIO()
    pq.write_table(table, buffer, compression="zstd")
    manifest = {
        "batch": batch,
        "ledger": ledger,
        "schema": SCHEMA_VERSION,
        "rows": len(rows),
        "digest": digest(rows),
        "first": entries[0][0] if entries else 0,
        "last": entries[-1][0] if entries else 0,
    }
    return buffer.getvalue(), manifest


def read_entries(file: bytes | Path) -> list[Entry]:
    """The entries of a batch in Parquet; raises ValueError if its schema version is not supported."""
    table = pq.read_table(io.BytesIO(file) if isinstance(file, bytes) else file)
    version = (table.schema.metadata or {}).get(b"lifthead_schema", b"?").decode()
    if version != str(SCHEMA_VERSION):
        raise ValueError(f"schema version {version}, expected {SCHEMA_VERSION}")
    entries: list[Entry] = []
    for fields in table.to_pylist():
        if fields["kind"] == "usage":
            values = {name: fields[name] for name in Usage.__struct_fields__}
            entries.append(Usage(**values))
        else:
            entries.append(
                Correction(
                    id=fields["id"],
                    at=fields["at"],
                    period=fields["period"],
                    of_period=fields["of_period"],
                    tenant=fields["tenant"],
                    group=fields["group"],
                    reqs=fields["reqs"],
                    prompt=fields["billed_prompt"],
                    answer=fields["billed_answer"],
                    why=fields["why"],
                    reverses=fields["reverses"],
                )
            )
    return entries


def write_files(directory: Path, data: bytes, manifest: dict) -> None:
    """Writes a batch as two files. The manifest is renamed into place last: where it exists, the batch is
    complete."""
    directory.mkdir(parents=True, exist_ok=True)
    for name, content in (
        (f"{manifest['batch']}.parquet", data),
        (f"{manifest['batch']}.json", json.dumps(manifest).encode()),
    ):
        partial = directory / f"{name}.part"
        with open(partial, "wb") as file:
            file.write(content)
            file.flush()
            os.fsync(file.fileno())
        os.replace(partial, directory / name)


async def deliver(url: str, data: bytes, manifest: dict, timeout_s: float = 10.0) -> bool:
    """Sends a batch to a billing system; True once it has confirmed the batch. Without an answer it is not
    known whether the batch arrived: the same batch is sent again, and its id and digest make the repeat
    harmless."""
    address, _, path = url.removeprefix("http://").partition("/")
    fields = {
        "host": address,
        "content-type": "application/vnd.apache.parquet",
        "content-length": str(len(data)),
        "idempotency-key": manifest["batch"],
        "x-batch-digest": manifest["digest"],
        "x-batch-manifest": json.dumps(manifest),
    }
    link = ConnectionPool(address, 1.0)
    try:
        answer = await link.exchange(
            encode_head(f"PUT /{path}/{manifest['batch']} HTTP/1.1", fields) + data, timeout_s
        )
    finally:
        link.close()
    return answer is not None and answer[0].status in (200, 201, 204)
