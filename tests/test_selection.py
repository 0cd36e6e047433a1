"""Server selection: prefix locality, load spreading and avoidance of failing servers."""

import collections

import gateways
import virtual_time

from dogwoodgap import candidates, dialect, progress, routes, selection, servers

ENGINE = routes.Engine(16, 100_000, 10)
ENGINES = [servers.BackendServer(f"e{n}", "m", f"10.0.0.{n}:80", "d", 16) for n in range(5)]
PLAIN = [servers.BackendServer(f"p{n}", "t", f"10.0.1.{n}:80", "d", 6) for n in range(4)]


def call(program, tokens=1_500, attempt="a"):
    return gateways.turn(
        attempt,
        program_id=program,
        session_id=program,
        prompt_tokens=tokens,
        prompt_parts=(dialect.PromptPart("shared", 500), dialect.PromptPart("own", tokens - 500)),
    )


def test_all_nodes_choose_the_same_engine_for_a_program():
    """Guards against repeated prefill when the turns of a program arrive at different nodes."""
    tables = [selection.LoadTable("d") for _ in range(7)]
    homes = collections.Counter()
    for number in range(500):
        chosen = {
            selection.choose(table, ENGINES, ENGINE, call(f"p{number}"), 0.0).id for table in tables
        }
        assert len(chosen) == 1
        homes[chosen.pop()] += 1
    assert max(homes.values()) < 1.35 * 500 / len(ENGINES)


def test_limited_engine_is_home_to_as_many_programs_as_its_limit_serves():
    """Guards against programs that move to and fro between engines with each permit."""
    limits = {"e0": 4.0, "e1": 0.0}
    tables = [selection.LoadTable("d") for _ in range(3)]
    homes = collections.Counter()
    unlimited = selection.LoadTable("d")
    for number in range(2_000):
        previous = selection.choose(unlimited, ENGINES, ENGINE, call(f"p{number}"), 0.0).id
        chosen = set()
        for table in tables:
            table.limit_per_s = lambda server: limits.get(server.id)
            chosen.add(selection.choose(table, ENGINES, ENGINE, call(f"p{number}"), 0.0).id)
        assert len(chosen) == 1
        home = chosen.pop()
        homes[home] += 1
        assert home == previous or previous in limits
    assert homes["e0"] < 0.1 * homes["e2"]
    assert homes["e1"] < 0.02 * homes["e2"]


def test_extreme_hashes_have_a_home(monkeypatch):
    """Guards against an undefined score for the largest and the smallest hash."""
    for digest in (0, 2**64 - 1):
        monkeypatch.setattr(selection.xxhash, "xxh64_intdigest", lambda _, digest=digest: digest)
        assert selection.choose(selection.LoadTable("d"), ENGINES, ENGINE, call("p"), 0.0)


def test_full_home_engine_is_bypassed():
    """Guards against a queue at one engine while others are idle."""
    table = selection.LoadTable("d")
    home_server = selection.choose(table, ENGINES, ENGINE, call("p"), 0.0)
    table.state(home_server).in_flight = 16
    other = selection.choose(table, ENGINES, ENGINE, call("p"), 0.0)
    assert other is not home_server


def test_burst_is_spread_over_all_engines():
    """Guards against queueing when 80 concurrent turns just fill 5 engines of 16 slots."""
    table = selection.LoadTable("d")
    for number in range(80):
        server = selection.choose(table, ENGINES, ENGINE, call(f"p{number}"), 0.0)
        table.state(server).in_flight += 1
    assert max(table.state(server).in_flight for server in ENGINES) <= 18


def test_unreachable_server_is_avoided_during_its_backoff():
    """Guards against requests to a server that is down, and against a backoff that never ends."""
    table = selection.LoadTable("d")
    table.state(PLAIN[0]).record_unreachable(10.0)
    chosen = {
        selection.choose(table, PLAIN, None, call("p", attempt=f"a{n}"), 10.1).id for n in range(50)
    }
    assert PLAIN[0].id not in chosen
    later = 10.0 + selection.INITIAL_BACKOFF_S + 0.1
    chosen = {
        selection.choose(table, PLAIN, None, call("p", attempt=f"a{n}"), later).id
        for n in range(50)
    }
    assert PLAIN[0].id in chosen


def test_slow_plain_server_gets_fewer_requests():
    """Guards against equal load for servers of unequal speed."""
    table = selection.LoadTable("d")
    for server in PLAIN:
        table.state(server).record_response(0.4 if server is PLAIN[0] else 0.05)
    counts = collections.Counter()
    for number in range(16):
        server = selection.choose(table, PLAIN, None, call("p", attempt=f"a{number}"), 0.0)
        table.state(server).in_flight += 1
        counts[server.id] += 1
    assert counts[PLAIN[0].id] <= 1


def test_server_that_fails_fast_does_not_attract_requests():
    """Guards against fast errors that make a server look fast.

    One of four servers fails 2 of 5 of its requests; 400 requests arrive, one every 5 ms.
    """
    table = selection.LoadTable("d")
    now, failed = 0.0, 0
    for number in range(400):
        now += 0.005
        server = selection.choose(table, PLAIN, None, call("p", attempt=f"a{number}"), now)
        state = table.state(server)
        if server is PLAIN[0] and number % 5 < 2:
            failed += 1
            state.record_outcome(now, failed=True)
        else:
            state.record_response(0.02)
            state.record_outcome(now, failed=False)
    assert failed <= 15


def test_few_lost_responses_do_not_shift_the_load():
    """Guards against a load shift that would overload the other servers.

    Two of four servers lose 6% of their responses; 1,000 requests arrive, one every 5 ms.
    """
    table = selection.LoadTable("d")
    counts = collections.Counter()
    for number in range(1_000):
        now = number * 0.005
        server = selection.choose(table, PLAIN, None, call("p", attempt=f"a{number}"), now)
        counts[server.id] += 1
        lost = server in PLAIN[:2] and number % 17 == 0
        table.state(server).record_response(0.02)
        table.state(server).record_outcome(now, failed=lost)
    assert min(counts.values()) > 150


def test_failed_server_is_used_again():
    """Guards against a server that stays unused after it has recovered."""
    table = selection.LoadTable("d")
    for _ in range(10):
        table.state(PLAIN[0]).record_outcome(0.0, failed=True)
    later = 8 * selection.FAILURE_HALF_LIFE_S
    chosen = {
        selection.choose(table, PLAIN, None, call("p", attempt=f"a{n}"), later).id
        for n in range(200)
        if not table.state(PLAIN[n % 4]).record_response(0.02 + 0.002 * (n % 7))
    }
    assert PLAIN[0].id in chosen


def test_placing_a_request_counts_the_nodes_once():
    """Guards against work for each pair of server and node on every request of a large fleet."""
    registry = servers.ServerRegistry(0.0)
    entries = tuple(servers.BackendServer(f"s{n}", "plain", f"h{n}:1", "d", 6) for n in range(50))
    virtual_time.run(lambda: apply_listing(registry, entries))
    selector = candidates.ServerSelector(routes.ActiveRoutes(), registry, selection.LoadTable())
    counted = []
    selector.node_count = lambda: counted.append(1) or 400
    state = progress.Progress(gateways.ROUTES[0], "plain", 10.0)
    assert len(selector.eligible_servers(state)) == 50
    assert len(counted) == 1


async def apply_listing(registry, entries):
    registry.apply(servers.Listing(1, entries))
