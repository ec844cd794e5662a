"""The disk as the journal uses it: a few operations, so that a test can make each of them fail."""

import os
from pathlib import Path
from typing import Protocol


class Disk(Protocol):
    """Names are plain file names. Written data is durable after `sync`; the creation, removal or renaming of
    a file is durable after `sync_names`. Each call may raise OSError and may then have been carried out in
    part."""

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def append(self, name: str, data: bytes) -> None: ...

    def sync(self, name: str) -> None: ...

    def rename(self, name: str, to: str) -> None: ...

    def remove(self, name: str) -> None: ...

    def sync_names(self) -> None: ...


class DiskDirectory:
    """A directory of the file system."""

    def __init__(self, path: str | Path) -> None:
        self.path = Path(path)
        self.path.mkdir(parents=True, exist_ok=True)
        self._descriptors: dict[str, int] = {}

    def names(self) -> list[str]:
        return sorted(os.listdir(self.path))

    def read(self, name: str) -> bytes:
        return (self.path / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        descriptor = self._descriptor(name)
        while data:
            data = data[os.write(descriptor, data) :]

    def sync(self, name: str) -> None:
        os.fdatasync(self._descriptor(name))

    def rename(self, name: str, to: str) -> None:
        self._close(name)
        os.rename(self.path / name, self.path / to)

    def remove(self, name: str) -> None:
        self._close(name)
        os.remove(self.path / name)

    def sync_names(self) -> None:
        descriptor = os.open(self.path, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        for name in list(self._descriptors):
            self._close(name)

    def _descriptor(self, name: str) -> int:
        if name not in self._descriptors:
            self._descriptors[name] = os.open(self.path / name, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600)
        return self._descriptors[name]

    def _close(self, name: str) -> None:
        if name in self._descriptors:
            os.close(self._descriptors.pop(name))
