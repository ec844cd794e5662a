"""The disk as the journal sees it: few operations, so that a test can fail each of them."""

import os
from pathlib import Path
from typing import Protocol


class Disk(Protocol):
    """Names are plain file names. What was written is sure after `sync`; that a name is there, or gone, or
    renamed, after `sync_names`. Each call may raise OSError, and may then have been carried out in part."""

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
        self._open: dict[str, int] = {}

    def names(self) -> list[str]:
        return sorted(os.listdir(self.path))

    def read(self, name: str) -> bytes:
        return (self.path / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        handle = self._handle(name)
        while data:
            data = data[os.write(handle, data) :]

    def sync(self, name: str) -> None:
        os.fdatasync(self._handle(name))

    def rename(self, name: str, to: str) -> None:
        self._close(name)
        os.rename(self.path / name, self.path / to)

    def remove(self, name: str) -> None:
        self._close(name)
        os.remove(self.path / name)

    def sync_names(self) -> None:
        handle = os.open(self.path, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def close(self) -> None:
        for name in list(self._open):
            self._close(name)

    def _handle(self, name: str) -> int:
        if name not in self._open:
            self._open[name] = os.open(self.path / name, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600)
        return self._open[name]

    def _close(self, name: str) -> None:
        if name in self._open:
            os.close(self._open.pop(name))
