"""Stores engine lists as numbered generations on a disk, so that a restart begins with the last one
applied."""

import os
from pathlib import Path

import msgspec

from lifthead.deployment.fleet import EngineSpec
from lifthead.ledger.disk import Disk
from lifthead.members.listing import Listing, make_listing

KEPT_GENERATIONS = 10


def replace_file(path: Path, data: bytes, sync: bool = False) -> None:
    """Replaces a file atomically for readers; with `sync` the content also survives a loss of power."""
    partial = path.with_suffix(".part")
    with open(partial, "wb") as file:
        file.write(data)
        if sync:
            file.flush()
            os.fsync(file.fileno())
    partial.replace(path)


class GenerationStore:
    """Numbered generations; the highest one that can be read is in use."""

    def __init__(self, disk: Disk) -> None:
        self._disk = disk

    def numbers(self) -> list[int]:
        names = [name for name in self._disk.names() if name.startswith("gen-") and name.endswith(".json")]
        return sorted(int(name[4:-5]) for name in names)

    def read(self, number: int) -> Listing | None:
        """A generation; None if it does not exist or can't be read."""
        try:
            data = self._disk.read(f"gen-{number:09}.json")
            engines = msgspec.json.decode(data, type=dict[str, EngineSpec])
        except (OSError, KeyError, msgspec.DecodeError):
            return None
        return make_listing(engines)

    def latest(self) -> tuple[int, Listing | None]:
        """The number and listing of the newest generation that can be read; 0 and None if there is none."""
        for number in reversed(self.numbers()):
            listing = self.read(number)
            if listing:
                return number, listing
        return 0, None

    def save(self, listing: Listing) -> int:
        """Stores a listing as the next generation. It is written under a temporary name, synced and renamed:
        under its own name it is complete."""
        number = max(self.numbers(), default=0) + 1
        name = f"gen-{number:09}.json"
        if name + ".part" in self._disk.names():
            self._disk.remove(name + ".part")
        engines = {each: msgspec.to_builtins(spec) for each, spec in listing.engines.items()}
        self._disk.append(name + ".part", msgspec.json.encode(engines))
        self._disk.sync(name + ".part")
        self._disk.rename(name + ".part", name)
        self._disk.sync_names()
        for old in self.numbers()[:-KEPT_GENERATIONS]:
            self._disk.remove(f"gen-{old:09}.json")
        return number
