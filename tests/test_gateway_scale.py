"""The control work of a gateway does not grow with the fleet."""

import functools

import pytest

from dogwoodgap_lab import gateway_scale

SIZES = (40, 90)
"""In smaller fleets more of the owners of programs are partners, to which a connection is open."""

ALLOWED_GROWTH = 1.2
MAX_DELEGATES = 11
"""Partners of one node, to which the reader of the list of servers sends it."""


@functools.cache
def measures(count):
    """Return the measures of a fleet by part."""
    fleet = gateway_scale.measure(count, profiled=False, restarting=False)
    return {measure.part: measure.values for measure in fleet.measures}


@pytest.mark.timeout(240)
@pytest.mark.parametrize("part", ["rest", "turns"])
@pytest.mark.parametrize("figure", ["messages_per_s", "connections_per_s", "log_lines_per_s"])
def test_control_work_is_flat(part, figure):
    """Guards against work that a gateway does once for each other gateway."""
    small, large = (measures(count)[part] for count in SIZES)
    assert small["joined_share"] == large["joined_share"] == 1.0
    assert large[figure] <= small[figure] * ALLOWED_GROWTH


@pytest.mark.timeout(240)
def test_store_calls_of_a_fleet_at_rest_are_flat():
    """Guards against calls to the store by each gateway."""
    small, large = (measures(count)["rest"]["store_calls_per_s"] * count for count in SIZES)
    assert large <= small * ALLOWED_GROWTH


@pytest.mark.timeout(240)
def test_no_gateway_sends_to_all_others():
    """Guards against one gateway that passes each list of servers to the whole fleet."""
    rest = measures(SIZES[1])["rest"]
    lists_per_s = 1 / 0.6
    assert rest["busiest_messages_per_s"] <= rest["messages_per_s"] + MAX_DELEGATES * lists_per_s
