"""Blocks optional imports of libraries to reduce memory use.

An idle node process has a memory limit of 64 MB. Some libraries import other packages if these are
installed, although the node never uses them.
"""

import sys
import typing

OPTIONAL_MODULES = (
    # The command line of httpx, which imports rich and pygments: 4.2 MB.
    "httpx._main",
    # httpcore imports trio if it is installed, although the node runs on asyncio: 4.2 MB.
    "trio",
)


def block_optional_modules() -> None:
    """Make imports of the optional modules fail; the libraries work without them.

    Call it before httpx is imported, in processes that use none of these modules.
    """
    for name in OPTIONAL_MODULES:
        sys.modules.setdefault(name, typing.cast(typing.Any, None))
