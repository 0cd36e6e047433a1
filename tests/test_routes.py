"""Route matching, weighted targets and the order of versions."""

import hypothesis
import pytest
from hypothesis import strategies

from dogwoodgap import routes

SEGMENT = strategies.sampled_from(["a", "b", "ab", "%20"])
PREFIXES = strategies.lists(SEGMENT, max_size=3).map(
    lambda parts: "/" + "".join(f"{p}/" for p in parts)
)


def route(prefix, host="h", service="s", targets=None):
    chosen = targets or (routes.Target(service),)
    return routes.Route(prefix, host, prefix, routes.RouteKind.IDEMPOTENT, chosen, 1.0, 0.1)


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(strategies.sets(PREFIXES, max_size=6), PREFIXES, SEGMENT)
def test_longest_prefix_wins(prefixes, directory, name):
    """Guards against a route that shadows a more specific one; the oracle tries all prefixes."""
    table = routes.RouteTable(1, [route(prefix) for prefix in prefixes], [])
    path = directory + name
    expected = max((p for p in prefixes if path.startswith(p)), key=len, default=None)
    matched = table.match("H", path)
    assert (matched.prefix if matched else None) == expected
    assert table.match("other", path) is None


@hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
@hypothesis.given(strategies.lists(strategies.integers(0, 20), max_size=20))
def test_versions_never_go_back(versions):
    """Guards against an older version that arrives late and replaces a newer one."""
    active_routes = routes.ActiveRoutes()
    for count, version in enumerate(versions, 1):
        active_routes.install(routes.RouteTable(version, [], []))
        assert active_routes.version == max(versions[:count])


def test_weights_distribute_requests_and_keys_are_sticky():
    """Guards against ignored weights, and requests of one key that reach different services."""
    shared = route("/", targets=(routes.Target("x", 90), routes.Target("y", 10)))
    chosen = [shared.choose_service(f"key-{number}") for number in range(4_000)]
    assert chosen == [shared.choose_service(f"key-{number}") for number in range(4_000)]
    assert chosen.count("y") / len(chosen) == pytest.approx(0.1, abs=0.02)


def test_only_retryable_routes_are_retried():
    """Guards against running an action with side effects twice because its route allows retries."""
    idempotent = route("/")
    assert idempotent.retryable
    action = routes.Route("r", "h", "/", routes.RouteKind.NON_IDEMPOTENT, (), 1.0, 0.1)
    assert not action.retryable
