"""Blocks optional imports of libraries to reduce memory use and the processor time of a start.

An idle node process has a memory limit of 64 MB. Some libraries import other packages if these are
installed, although the node never uses them.
"""

import os
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

    Call it before httpx or pydantic is imported, in processes that use none of these modules.
    """
    # Otherwise pydantic reads the metadata of all installed packages to look for plug-ins.
    os.environ.setdefault("PYDANTIC_DISABLE_PLUGINS", "__all__")
    for name in OPTIONAL_MODULES:
        sys.modules.setdefault(name, typing.cast(typing.Any, None))
