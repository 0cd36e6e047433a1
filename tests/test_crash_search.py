"""Short runs of the search for requests that crash servers, with real processes."""

import pathlib
import subprocess
import sys

import pytest

SEARCH = pathlib.Path(__file__).with_name("crash_search.py")


@pytest.mark.parametrize("seed", [1102, 1205])
def test_request_that_crashes_servers_is_refused_by_all_gateways(seed):
    """Guards against crashes that gateways forget, refute or learn of too late."""
    command = [sys.executable, str(SEARCH), "--seed", str(seed), "--seconds", "22"]
    finished = subprocess.run(command, capture_output=True, text=True, timeout=100, check=False)
    assert finished.returncode == 0, finished.stdout + finished.stderr
