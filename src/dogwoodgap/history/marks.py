"""Marks on the disk of a storage VM: that it is in use, and until when turns may be missing."""

import functools

from dogwoodgap.history import blocking, disk

INCOMPLETE = "storage-incomplete"
"""File with the Unix ms until which turns may be missing; it exists before ``disk.MARKER`` does."""


EMPTIED = "storage-emptied"
"""File that exists once a VM was emptied. A new disk in a VM of the same name does not have it, so
that this VM is used although the request to remove its predecessor is still there."""


class Marks:
    """The marks; all methods may raise ``OSError``."""

    def __init__(self, files: disk.Disk, run_blocking: blocking.Run):
        self.files = files
        self.run_blocking = run_blocking

    async def exist(self) -> bool:
        """Return whether the disk is in use, so that it was not lost."""
        return disk.MARKER in await self.run_blocking(functools.partial(self.files.names))

    async def incomplete_until_ms(self, unreadable_until_ms: int) -> int:
        """Return until when turns may be missing; 0 if none is.

        Parameters
        ----------
        unreadable_until_ms : int
            Result if a power loss tore the mark.
        """
        return await self.run_blocking(functools.partial(read, self.files, unreadable_until_ms))

    async def begin(self, incomplete_until_ms: int) -> None:
        """Mark the disk as in use, and until when turns may be missing unless that is 0."""
        await self.run_blocking(functools.partial(begin, self.files, incomplete_until_ms))

    async def complete(self) -> None:
        """Mark that no turn is missing; if that gets lost, turns are only said to be missing."""
        await self.run_blocking(functools.partial(remove_if_present, self.files, INCOMPLETE))

    async def is_emptied(self) -> bool:
        """Return whether the VM with this disk was emptied."""
        return EMPTIED in await self.run_blocking(functools.partial(self.files.names))

    async def set_emptied(self, *, is_emptied: bool) -> None:
        """Mark whether the VM with this disk was emptied."""
        await self.run_blocking(functools.partial(set_emptied, self.files, is_emptied=is_emptied))


def set_emptied(files: disk.Disk, *, is_emptied: bool) -> None:
    """Write or remove the mark of an emptied VM."""
    remove_if_present(files, EMPTIED)
    if is_emptied:
        files.append(EMPTIED, b"emptied\n")
        files.sync(EMPTIED)


def read(files: disk.Disk, unreadable_until_ms: int) -> int:
    """Return until when turns may be missing; 0 if none is."""
    if INCOMPLETE not in files.names():
        return 0
    text = files.read(INCOMPLETE)
    # The last byte shows that the number before it is whole.
    is_whole = text.endswith(b"\n") and text[:-1].isdigit()
    return int(text) if is_whole else unreadable_until_ms


def begin(files: disk.Disk, incomplete_until_ms: int) -> None:
    """Write the marks in an order in which no power loss makes an incomplete disk complete."""
    if incomplete_until_ms:
        remove_if_present(files, INCOMPLETE)
        files.append(INCOMPLETE, b"%d\n" % incomplete_until_ms)
        files.sync(INCOMPLETE)
    if disk.MARKER not in files.names():
        files.append(disk.MARKER, b"in use\n")
        files.sync(disk.MARKER)


def remove_if_present(files: disk.Disk, name: str) -> None:
    """Remove a file durably; a missing one is not an error."""
    if name in files.names():
        files.remove(name)
        files.sync_folder()
