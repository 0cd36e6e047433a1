"""The folder of a storage VM's disk, with only those operations that such a disk offers.

All functions block on the disk, which may stall for seconds, so they run in worker threads.
"""

import os
import typing

MARKER = "storage-marker"
"""File that exists once the disk is in use; without it, the disk is new or was lost."""


class Disk(typing.Protocol):
    """Files in one folder; all methods may raise ``OSError``."""

    def names(self) -> list[str]:
        """Return the names of all files."""

    def read(self, name: str, offset: int = 0, length: int = -1) -> bytes:
        """Return bytes of a file, by default all; fewer at its end."""

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, which is created if it is missing."""

    def sync(self, name: str) -> None:
        """Make everything that was written to a file durable, and the file itself if it is new."""

    def remove(self, name: str) -> None:
        """Remove a file; it may reappear after a power loss before ``sync_folder``."""

    def sync_folder(self) -> None:
        """Make removals durable."""


class Folder:
    """Implements :class:`Disk` with a folder, which is created if it is missing.

    The file that is appended to stays open. Only one thread may change files at a time.
    """

    def __init__(self, path: str):
        self.path = path
        self.open_name = ""
        self.open_file: typing.BinaryIO | None = None

    def names(self) -> list[str]:
        """Return the names of all files."""
        if not os.path.isdir(self.path):
            os.makedirs(self.path)
            # Otherwise a power loss may take the folder away with everything in it.
            sync_folder(os.path.dirname(os.path.abspath(self.path)))
        return sorted(os.listdir(self.path))

    def read(self, name: str, offset: int = 0, length: int = -1) -> bytes:
        """Return bytes of a file, by default all; fewer at its end."""
        with open(os.path.join(self.path, name), "rb") as file:
            file.seek(offset)
            return file.read(length)

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, which is created if it is missing."""
        file = self.writable(name)
        view = memoryview(data)
        while view:
            view = view[file.write(view) :]

    def sync(self, name: str) -> None:
        """Make everything that was written to a file durable, and the file itself if it is new."""
        os.fsync(self.writable(name).fileno())

    def remove(self, name: str) -> None:
        """Remove a file; it may reappear after a power loss before ``sync_folder``."""
        if name == self.open_name:
            self.close()
        os.remove(os.path.join(self.path, name))

    def sync_folder(self) -> None:
        """Make removals durable."""
        sync_folder(self.path)

    def writable(self, name: str) -> typing.BinaryIO:
        """Return a file open for appending, in place of the one that was open before."""
        if self.open_file is None or name != self.open_name:
            self.close()
            file = open(os.path.join(self.path, name), "ab", buffering=0)  # noqa: SIM115
            self.open_name, self.open_file = name, file
        return self.open_file

    def close(self) -> None:
        """Close the file that is appended to."""
        if self.open_file is not None:
            self.open_file.close()
            self.open_name, self.open_file = "", None


def sync_folder(path: str) -> None:
    """Make new and removed entries of a folder durable."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
