"""Exported KV cache in the data folder of a VM. Exports lost with the VM are computed again."""

import collections
import hashlib

import anyio
import msgspec

from dogwoodgap import backend_messages

SUFFIX = ".kv"

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(backend_messages.KvBlock)


class ExportStore:
    """Stores exported prefixes as files, and deletes the oldest when the space is used up.

    Parameters
    ----------
    folder : str
        Data folder of the VM.
    max_bytes : int
        Space for all exports together.
    """

    def __init__(self, folder: str, max_bytes: int):
        self.folder = anyio.Path(folder) / "exports"
        self.max_bytes = max_bytes
        self.sizes: collections.OrderedDict[str, int] = collections.OrderedDict()
        self.used_bytes = 0

    async def open(self) -> None:
        """Create the folder, and delete the exports of an earlier run, which are not indexed."""
        await self.folder.mkdir(parents=True, exist_ok=True)
        async for path in self.folder.glob(f"*{SUFFIX}"):
            await path.unlink(missing_ok=True)

    def path(self, session: str) -> anyio.Path:
        """Return the path of a session's file."""
        return self.folder / (hashlib.sha256(session.encode()).hexdigest() + SUFFIX)

    async def save(self, block: backend_messages.KvBlock) -> bool:
        """Store a block; returns False when it is larger than the whole space."""
        data = _encoder.encode(block)
        if len(data) > self.max_bytes:
            return False
        await self.delete(block.session)
        self.sizes[block.session] = len(data)
        self.used_bytes += len(data)
        while self.used_bytes > self.max_bytes:
            await self.delete(next(iter(self.sizes)))
        await self.path(block.session).write_bytes(data)
        return True

    async def load(self, session: str) -> backend_messages.KvBlock | None:
        """Return a stored block, or None when it is missing or damaged."""
        if session not in self.sizes:
            return None
        try:
            return _decoder.decode(await self.path(session).read_bytes())
        except (OSError, msgspec.DecodeError):
            await self.delete(session)
            return None

    async def delete(self, session: str) -> None:
        """Delete the block of a session, if there is one."""
        self.used_bytes -= self.sizes.pop(session, 0)
        await self.path(session).unlink(missing_ok=True)
