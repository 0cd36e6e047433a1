"""Runs one case in a temporary folder, and writes its record."""

import asyncio
import collections.abc
import os
import pathlib
import shutil
import sys
import tempfile
import time
import traceback

from stand_ins_3 import machines, runners, store

HELD = 0
BROKEN = 1
NOT_RUN = 2
LIMIT_S = 114.0
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Case:
    """A deployment with its store, and what its clients and runners saw.

    Parameters
    ----------
    folder : pathlib.Path
        Temporary folder.
    tolerated_machines : int
        Machines with a disk that may be lost at the same time.
    **bounds : float or bool
        Further bounds of the settings.
    """

    def __init__(self, folder: pathlib.Path, tolerated_machines: int, **bounds: float | bool):
        self.lines: list[str] = []
        self.started_at = time.monotonic()
        self.store = store.Store(machines.free_address())
        all_bounds = {"graceS": 8, "reuseAfterS": 2, **bounds}
        self.site = machines.Site(folder, self.store.address, all_bounds, tolerated_machines, 3)
        self.runs: list[runners.Run] = []

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f"{time.monotonic() - self.started_at:8.3f} {text}")

    async def run(self) -> int:
        """Run the case; return the exit status."""
        raise NotImplementedError


async def run_case(make: collections.abc.Callable[[pathlib.Path], Case], script: str) -> int:
    """Run a case and end all that it started."""
    with tempfile.TemporaryDirectory(prefix="review-") as name:
        folder = pathlib.Path(name)
        case = make(folder)
        result = NOT_RUN
        try:
            async with asyncio.timeout(LIMIT_S):
                result = await case.run()
        except Exception:  # the case could not run, which is no result
            case.note(traceback.format_exc())
        finally:
            case.site.end()
            case.note(f"exit status {result}")
            record = "record.txt" if HAS_TROUBLE else "record-without-trouble.txt"
            pathlib.Path(script).with_name(record).write_text("\n".join(case.lines) + "\n")
            if kept := os.environ.get("KEEP_LOGS"):
                shutil.copytree(folder, kept, dirs_exist_ok=True)
    return result


def main(make: collections.abc.Callable[[pathlib.Path], Case], script: str) -> None:
    """Run a case as the program of a script."""
    sys.exit(asyncio.run(run_case(make, script)))
