"""Keeps optional modules of libraries out of the node, to save memory.

The whole idle process is held against 64 MB. Some libraries import others when those happen to be
installed, although the node never uses them.
"""

import sys
import typing

OPTIONAL_MODULES = (
    # httpx imports its command line, and with it rich and pygments: 4.2 MB.
    "httpx._main",
    # httpcore imports trio where it is installed, though the node runs on asyncio: 4.2 MB.
    "trio",
)


def block_optional_modules() -> None:
    """Make the optional imports of libraries fail; they work without these modules.

    Only for processes that use none of them, and before httpx is imported.
    """
    for name in OPTIONAL_MODULES:
        sys.modules.setdefault(name, typing.cast(typing.Any, None))
