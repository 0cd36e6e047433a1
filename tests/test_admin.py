"""Administration API: authorization, concurrent changes, isolation of customers, audit."""

import anyio
import fake_admin
import httpx
import pytest
import virtual_time

from dogwoodgap import admin_fleet, keys

TOKENS_BY_RANK = ["calvin", "vera", "olga", "root"]
MINIMUM_RANKS = {"viewer": 1, "operator": 2, "administrator": 3}
PATH_VALUES = {"{name}": "zz", "{service}": "zz", "{program}": "p", "{generation:int}": "99"}


def run(main, **options):
    """Run a coroutine function with a fake node and a client on virtual time."""

    async def body():
        node = fake_admin.FakeNode(**options)
        transport = httpx.ASGITransport(node.app)
        async with httpx.AsyncClient(transport=transport, base_url="http://node") as client:
            await main(node, client)

    virtual_time.run(body)


def as_user(token: str, generation: int | None = None) -> dict[str, str]:
    headers = {"Authorization": f"Bearer {token}"}
    return headers if generation is None else headers | {"If-Match": f'"{generation}"'}


def test_every_route_refuses_lower_roles_and_missing_keys():
    """Guards against a route that allows requests without a key or with too low a role."""

    async def main(node, client):
        assert len(node.administration.guard.roles) >= 35
        for route, role in node.administration.guard.roles.items():
            method, path = route.split(" ")
            for name, value in PATH_VALUES.items():
                path = path.replace(name, value)
            assert (await client.request(method, path)).status_code == 401
            for rank, token in enumerate(TOKENS_BY_RANK):
                reply = await client.request(method, path, headers=as_user(token))
                forbidden = reply.status_code == 403
                assert forbidden == (rank < MINIMUM_RANKS[role]), (route, token, reply.text)
        assert (await client.head("/configuration", headers=as_user("root"))).status_code == 404
        assert len(node.configuration.documents) == 1
        assert node.nodes.drained == []

    run(main)


def test_concurrent_change_is_refused_with_the_differences():
    """Guards against a lost update, and against a 412 reply that does not say what changed."""

    async def main(node, client):
        headers = as_user("olga", 1)
        first = await client.put("/profiles/quote", json={"max_turns": 31}, headers=headers)
        assert first.json()["applied"]
        assert first.headers["etag"] == '"2"'
        for lag in (0, 1):
            node.configuration.generation_lag = lag
            second = await client.put("/profiles/quote", json={"max_turns": 9}, headers=headers)
            assert second.status_code == 412
            assert "profiles.quote.max_turns: 30 -> 31" in second.json()["detail"]
        missing = await client.put("/profiles/quote", json={}, headers=as_user("olga"))
        assert missing.status_code == 428
        assert node.configuration.documents[-1].profiles["quote"].max_turns == 31
        assert len(node.configuration.documents) == 2

    run(main)


def test_a_lagging_node_edits_the_generation_that_the_operator_saw():
    """Guards against a change on a lagging node that reverts a generation it has not received."""

    async def main(node, client):
        headers = as_user("olga", 1)
        await client.put("/profiles/quote", json={"max_turns": 31}, headers=headers)
        node.configuration.generation_lag = 1
        reply = await client.put(
            "/customers/perch", json={"concurrency": 6}, headers=as_user("olga", 2)
        )
        assert reply.json()["generation"] == 3
        assert node.configuration.documents[-1].profiles["quote"].max_turns == 31

    run(main)


def test_limited_keys_neither_read_nor_change_other_customers():
    """Guards against a limited key that reads or changes resources of other customers.

    Covers single resources, whole documents and the text of conflict errors.
    """

    async def main(node, client):
        node.add_program("other", "p1")
        node.add_program("perch", "p2")
        headers = as_user("perch-admin", 1)
        document = (await client.get("/configuration", headers=headers)).json()
        assert list(document["customers"]) == ["perch"]
        assert sorted(document["keys"]) == ["perch-admin", "perch-operator"]
        listed = (await client.get("/programs", headers=headers)).json()["programs"]
        assert [program["id"] for program in listed] == ["p2"]
        for path in ("/programs/p1?customer=other", "/customers/other", "/keys/root"):
            assert (await client.get(path, headers=headers)).status_code == 404
        for path, body in (
            ("/customers/other", {"concurrency": 1}),
            ("/profiles/default", {"urgency": 9}),
            ("/services/agent-llm", {"kind": "model"}),
            ("/keys/wide", {"digest": "0" * 64, "role": "administrator"}),
            ("/keys/root", {"digest": "0" * 64, "role": "viewer", "customers": ["perch"]}),
        ):
            reply = await client.put(path, json=body, headers=headers)
            assert reply.status_code == 403, path
        for path in ("/dump", "/summary"):
            assert (await client.get(path, headers=headers)).status_code == 403
        document["customers"]["perch"]["concurrency"] = 4
        reply = await client.put("/configuration", json=document, headers=headers)
        assert [difference["path"] for difference in reply.json()["differences"]] == [
            ["customers", "perch", "concurrency"]
        ]
        assert node.configuration.documents[-1].customers["other"].concurrency == 7
        assert len(node.configuration.documents[-1].keys) == len(fake_admin.TOKENS)
        await client.put("/customers/other", json={}, headers=as_user("root", 2))
        conflict = await client.put("/customers/perch", json={}, headers=as_user("perch-admin", 2))
        assert conflict.status_code == 412
        assert "other" not in conflict.json()["detail"].replace("another", "")

    run(main)


def test_operators_change_limits_but_not_keys_or_the_set_of_customers():
    """Guards against an operator who adds customers or keys, also by a whole configuration."""

    async def main(node, client):
        headers = as_user("olga", 1)
        assert (await client.delete("/customers/perch", headers=headers)).status_code == 403
        reply = await client.put("/customers/new", json={}, headers=headers)
        assert reply.status_code == 403
        document = (await client.get("/configuration", headers=headers)).json()
        assert document["keys"] == {}
        document["keys"]["olga2"] = {"digest": "0" * 64, "role": "administrator"}
        reply = await client.put("/configuration", json=document, headers=headers)
        assert reply.status_code == 403
        assert len(node.configuration.documents) == 1

    run(main)


def test_every_change_is_audited_without_secrets():
    """Guards against a change without author, note or differences, and against stored tokens."""

    async def main(node, client):
        headers = as_user("root", 1) | {"Dogwoodgap-Change": "c-1"}
        reply = await client.post("/keys/new?note=for-ci", json={"role": "viewer"}, headers=headers)
        token = reply.json()["token"]
        entry = node.configuration.entries[-1]
        assert (entry.author, entry.generation) == ("root", 2)
        assert entry.note.startswith("change=c-1 for-ci: keys.new: absent -> ")
        assert keys.digest(token) not in entry.note
        assert token not in str(node.configuration.documents)
        assert (await client.get("/summary", headers=as_user(token))).status_code == 200
        history = await client.get("/configuration/history", headers=as_user("perch-operator"))
        assert history.json()[0]["note"] == ""
        assert history.json()[0]["change"] == "c-1"

    run(main)


def test_rotation_leaves_no_gap_and_ends_the_old_key():
    """Guards against a rotation without an overlap, and against an old key that stays valid."""

    async def main(node, client):
        reply = await client.post(
            "/keys/vera/rotation", json={"overlap_seconds": 60}, headers=as_user("root", 1)
        )
        assert reply.json()["name"] == "vera.r2"
        new = reply.json()["token"]
        for token in ("vera", new):
            assert (await client.get("/nodes", headers=as_user(token))).status_code == 200
        await anyio.sleep(61)
        assert (await client.get("/nodes", headers=as_user("vera"))).status_code == 401
        assert (await client.get("/nodes", headers=as_user(new))).status_code == 200

    run(main)


def test_rollback_does_not_bring_a_revoked_key_back():
    """Guards against a revoked key that a rollback makes valid again."""

    async def main(node, client):
        await client.put("/profiles/quote", json={"max_turns": 5}, headers=as_user("olga", 1))
        await client.delete("/keys/vera", headers=as_user("root", 2))
        for user, expected, target in (("olga", 3, 1), ("root", 4, 2)):
            reply = await client.post(
                "/configuration/rollback",
                json={"generation": target},
                headers=as_user(user, expected),
            )
            assert reply.json()["applied"], reply.text
            assert (await client.get("/nodes", headers=as_user("vera"))).status_code == 401
        assert node.configuration.documents[3].profiles["quote"].max_turns == 30
        assert node.configuration.documents[4].profiles["quote"].max_turns == 5

    run(main)


def test_bootstrap_key_ends_with_the_first_administrator():
    """Guards against a bootstrap key that stays valid, and removal of the last administrator."""

    async def main(node, client):
        reply = await client.post(
            "/keys/first", json={"role": "administrator"}, headers=as_user("boot", 1)
        )
        assert reply.status_code == 201
        assert (await client.get("/nodes", headers=as_user("boot"))).status_code == 401
        assert (await client.get("/nodes", headers=as_user(""))).status_code == 401
        token = reply.json()["token"]
        assert (await client.get("/nodes", headers=as_user(token))).status_code == 200

    run(main, document=fake_admin.models.FleetConfiguration(), bootstrap="boot")

    async def delete_last_administrator(node, client):
        reply = await client.delete("/keys/root", headers=as_user("root", 1))
        assert reply.status_code == 409

    run(delete_last_administrator)


@pytest.mark.parametrize(
    ("path", "body", "expected_text"),
    [
        ("/services/crew-app", {"kind": "plain", "profile": "none"}, "unknown profile"),
        ("/profiles/quote", {"max_turns": 0}, "profiles.quote.max_turns"),
        ("/services/crew-app/runners/r9", {"address": "x", "data_centre": "d"}, "address"),
        ("/profiles/bad name", {}, "profiles.bad name"),
    ],
)
def test_invalid_resources_name_the_path_and_change_nothing(path, body, expected_text):
    """Guards against an invalid configuration that is accepted, or refused without a path."""

    async def main(node, client):
        reply = await client.put(path, json=body, headers=as_user("olga", 1))
        assert reply.status_code == 422
        assert expected_text in reply.json()["detail"]
        assert len(node.configuration.documents) == 1

    run(main)


def test_dry_run_and_unchanged_documents_store_nothing():
    """Guards against a dry run that is stored, and against generations without changes."""

    async def main(node, client):
        headers = as_user("root", 1)
        document = (await client.get("/configuration", headers=headers)).json()
        same = await client.put("/configuration", json=document, headers=headers)
        assert not same.json()["applied"]
        del document["services"]["agent-llm"]["runners"][0]
        reply = await client.put("/configuration?dry_run=1", json=document, headers=headers)
        assert reply.json()["differences"][0]["path"][:2] == ["services", "agent-llm"]
        assert len(node.configuration.documents) == 1

    run(main)


def test_pages_list_each_program_once_and_following_ends_with_the_program():
    """Guards against programs missing between pages, and against a stream that never ends."""

    async def main(node, client):
        for number in range(5):
            node.add_program("perch", f"p{number}")
        node.add_program("other", "p0", "crew-app")
        listed, after = [], ""
        while True:
            url = f"/programs?limit=2&service=agent-llm&after={after}"
            page = (await client.get(url, headers=as_user("vera"))).json()
            listed += [program["id"] for program in page["programs"]]
            after = page["next"]
            if not after:
                break
        assert listed == ["p0", "p1", "p2", "p3", "p4"]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cancel_later, client)
            url = "/programs/p1/events?customer=perch"
            reply = await client.get(url, headers=as_user("vera"))
        names = [line for line in reply.text.splitlines() if line.startswith("event")]
        assert names == ["event: program", "event: program", "event: end"]
        assert reply.text.count(": alive") == int(25 / admin_fleet.FOLLOW_HEARTBEAT_S)

    async def cancel_later(client):
        await anyio.sleep(25)
        reply = await client.delete("/programs/p1?customer=perch", headers=as_user("olga"))
        assert reply.json()["status"] == "cancelled"

    run(main)


def test_following_ends_when_the_key_is_revoked():
    """Guards against a revoked key that keeps receiving events on an open stream."""

    async def main(node, client):
        node.add_program("perch", "p1")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(revoke_later, client)
            reply = await client.get("/programs/p1/events?customer=perch", headers=as_user("vera"))
        assert "event: error" in reply.text
        assert '"unauthorized"' in reply.text

    async def revoke_later(client):
        await anyio.sleep(5)
        await client.delete("/keys/vera", headers=as_user("root", 1))

    run(main)


def test_unexpected_exception_is_logged_and_not_run_is_unknown(caplog, monkeypatch):
    """Guards against an unexpected exception that is not logged; the HTTP server logs nothing."""

    async def main(node, client):
        async def fail(*arguments):
            raise ZeroDivisionError

        monkeypatch.setattr(node.configuration, "update", fail)
        reply = await client.put("/profiles/quote", json={}, headers=as_user("olga", 1))
        assert reply.status_code == 500
        assert reply.json()["not_run"] == "unknown"
        assert caplog.records[-1].event == 3002

    run(main)


def test_bootstrap_key_is_refused_until_the_configuration_is_loaded():
    """Guards against a starting node that accepts the bootstrap key of a configured fleet."""

    async def main(node, client):
        node.administration.guard.is_configured = lambda: False
        assert (await client.get("/dump", headers=as_user("boot"))).status_code == 503
        node.administration.guard.is_configured = lambda: True
        assert (await client.get("/dump", headers=as_user("boot"))).status_code == 200

    run(main, document=fake_admin.models.FleetConfiguration(), bootstrap="boot")
