"""Property tests of authorization: random keys send random documents, checked by an oracle."""

import anyio
import fake_admin
import hypothesis
import pytest
import virtual_time
from hypothesis import strategies

from dogwoodgap import admin_changes, exceptions, keys, models, roles

NAMES = ("a", "b")
RESOURCES = ("services", "customers")
name_lists = strategies.lists(strategies.sampled_from(NAMES), unique=True)
role_names = strategies.sampled_from(["viewer", "operator", "administrator"])


@strategies.composite
def configurations(draw):
    """Draw a valid configuration from few names, so that configurations often overlap."""
    customers = draw(name_lists)
    drawn_keys = {}
    for name in draw(name_lists):
        role = draw(strategies.sampled_from(["caller", "viewer", "administrator"]))
        if role == "caller" and not customers:
            continue
        owner = draw(strategies.sampled_from(customers)) if role == "caller" else None
        drawn_keys[name] = {"digest": "0" * 64, "role": role, "customer": owner}
        drawn_keys[name] |= {"customers": draw(name_lists), "services": draw(name_lists)}
    return models.FleetConfiguration.model_validate(
        {
            "profiles": {"default": {"urgency": draw(strategies.integers(0, 1))}},
            "services": {
                name: {"kind": draw(strategies.sampled_from(["model", "plain"]))}
                for name in draw(name_lists)
            },
            "customers": {
                name: {"concurrency": draw(strategies.integers(0, 1))} for name in customers
            },
            "keys": drawn_keys,
        }
    )


@strategies.composite
def identities(draw):
    """Draw the identity of a key with random role and limits."""
    limits = [frozenset(draw(name_lists)) for _ in range(2)]
    return keys.Identity("x", draw(role_names), "", *limits)


def allowed_pairs(key) -> set[tuple[str, str]]:
    """Return all pairs of service and customer that a key allows; ``*`` is any other name."""
    services = key.services or {*NAMES, "*"}
    customers = key.customers or {*NAMES, "*"}
    if isinstance(key, models.Key) and key.role == "caller":
        customers = {key.customer}
    return {(service, customer) for service in services for customer in customers}


def may_change(identity, kind, name, before, after) -> bool:
    """Return whether a key may change a resource; an oracle independent of module ``roles``."""
    limited = identity.services or identity.customers
    if identity.role == "viewer":
        return False
    if kind == "keys":
        versions = [key for key in (before, after) if key is not None]
        return identity.role == "administrator" and all(
            allowed_pairs(key) <= allowed_pairs(identity) for key in versions
        )
    if kind == "customers" and None in (before, after) and identity.role != "administrator":
        return False
    if kind == "profiles":
        return not limited
    return not limited or name in getattr(identity, kind)


@hypothesis.settings(derandomize=True, max_examples=400, deadline=None, database=None)
@hypothesis.given(
    configurations(),
    configurations(),
    identities(),
    strategies.sampled_from(["profiles", *RESOURCES, "keys"]),
    strategies.booleans(),
)
def test_no_document_changes_what_its_key_may_not(base, other, identity, part, is_rollback):
    """Guards against a whole document or a rollback that makes changes the key may not make."""
    edited = {part: getattr(other, part)}
    document = roles.visible_configuration(identity, base).model_copy(update=edited)

    async def main():
        configuration = fake_admin.FakeConfiguration(base)
        configuration.documents.append(document.model_copy(update={"generation": 2}))
        configuration.documents.append(base.model_copy(update={"generation": 3}))
        updater = admin_changes.ConfigurationUpdater(configuration, "0" * 64)
        change = admin_changes.Change(identity, 3)
        try:
            if is_rollback:
                await updater.rollback(change, 2)
            else:
                await updater.replace(change, document)
        except (exceptions.ForbiddenError, exceptions.SettingsInvalidError):
            pass
        return configuration.documents[-1]

    after = virtual_time.run(main)
    for kind in ("profiles", *RESOURCES, "keys"):
        old, new = getattr(base, kind), getattr(after, kind)
        for name in old.keys() | new.keys():
            if old.get(name) != new.get(name):
                assert may_change(identity, kind, name, old.get(name), new.get(name))
                assert kind != "keys" or not is_rollback
    hypothesis.event("changed" if after.generation == 4 else "unchanged")


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None, database=None)
@hypothesis.given(configurations(), identities())
def test_a_key_sees_only_its_customers_and_services(configuration, identity):
    """Guards against a limited key that reads resources outside its limits."""
    visible = roles.visible_configuration(identity, configuration)
    assert set(visible.customers) <= set(identity.customers or NAMES)
    assert set(visible.services) <= set(identity.services or NAMES)
    for key in visible.keys.values():
        assert identity.role == "administrator"
        assert allowed_pairs(key) <= allowed_pairs(identity)


def test_a_key_is_valid_in_the_configuration_in_force_only():
    """Guards against a cached key index that is used for another configuration."""

    async def main():
        old = fake_admin.example_configuration()
        new = old.model_copy(update={"keys": {"v2": old.keys["vera"]}})
        assert keys.authenticate("Bearer vera", old).name == "vera"
        assert keys.authenticate("Bearer vera", new).name == "v2"
        with pytest.raises(exceptions.UnauthorizedError):
            keys.authenticate("Bearer olga", new)
        ended = old.keys["vera"].model_copy(update={"not_after": 1.0})
        both = old.model_copy(update={"keys": {"a": old.keys["vera"], "z": ended}})
        assert keys.authenticate("Bearer vera", both).name == "a"

    anyio.run(main)
