"""Generations of a file's listing on a disk, so that a restart begins with the last good one."""

import os
from pathlib import Path

import msgspec

from lifthead.deployment.fleet import EngineSpec
from lifthead.ledger.disk import Disk
from lifthead.members.listing import Listing, make_listing

KEPT_GENERATIONS = 10


def replace_file(path: Path, data: bytes, sync: bool = False) -> None:
    """Whole or not at all, as readers see it; with `sync` also after a loss of power."""
    part = path.with_suffix(".part")
    with open(part, "wb") as file:
        file.write(data)
        if sync:
            file.flush()
            os.fsync(file.fileno())
    part.replace(path)


class GenerationStore:
    """Numbered generations; the highest that can be read is the one in use."""

    def __init__(self, disk: Disk) -> None:
        self._disk = disk

    def numbers(self) -> list[int]:
        names = [name for name in self._disk.names() if name.startswith("gen-") and name.endswith(".json")]
        return sorted(int(name[4:-5]) for name in names)

    def read(self, number: int) -> Listing | None:
        """A generation; None if there is none or it can't be read."""
        try:
            data = self._disk.read(f"gen-{number:09}.json")
            engines = msgspec.json.decode(data, type=dict[str, EngineSpec])
        except (OSError, KeyError, msgspec.DecodeError):
            return None
        return make_listing(engines)

    def latest(self) -> tuple[int, Listing | None]:
        """The newest generation that can be read, and its number; 0 if there is none."""
        for number in reversed(self.numbers()):
            found = self.read(number)
            if found:
                return number, found
        return 0, None

    def save(self, taken: Listing) -> int:
        """Keeps a listing as the next generation; it counts once its name is there, whole."""
        number = max(self.numbers(), default=0) + 1
        name = f"gen-{number:09}.json"
        if name + ".part" in self._disk.names():
            self._disk.remove(name + ".part")
        plain = {each: msgspec.to_builtins(spec) for each, spec in taken.engines.items()}
        self._disk.append(name + ".part", msgspec.json.encode(plain))
        self._disk.sync(name + ".part")
        self._disk.rename(name + ".part", name)
        self._disk.sync_names()
        for old in self.numbers()[:-KEPT_GENERATIONS]:
            self._disk.remove(f"gen-{old:09}.json")
        return number
