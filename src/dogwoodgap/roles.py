"""Authorization of operators: what a key may see and change.

A key without ``services`` and ``customers`` is unlimited. A limited key may see and change only the
services and customers that it lists. It may see profiles but not change them, since all customers
share them. When a key replaces the whole configuration, the parts that it may not see are left
unchanged.
"""

import hmac

from dogwoodgap import differences, exceptions, keys, models

VIEWER = "viewer"
OPERATOR = "operator"
ADMINISTRATOR = "administrator"
ROLE_RANKS = {"caller": 0, VIEWER: 1, OPERATOR: 2, ADMINISTRATOR: 3}
BOOTSTRAP_KEY_NAME = "bootstrap"
RESOURCE_PATH_LENGTH = 2
"""Length of the path of a whole resource, for example ``("customers", "perch")``."""


def identify(
    header: str, configuration: models.FleetConfiguration, bootstrap_digest: str
) -> keys.Identity:
    """Return the identity of the key in an ``Authorization`` header.

    The bootstrap key of the settings has administrator rights while no valid, unlimited
    administrator key is configured.

    Raises
    ------
    UnauthorizedError
        If the key is missing, unknown or expired.
    """
    token = header.partition(" ")[2]
    token_digest = keys.digest(token)
    is_bootstrap = hmac.compare_digest(token_digest, bootstrap_digest or "-")
    if (
        token
        and is_bootstrap
        and header.lower().startswith("bearer ")
        and lacks_administrator(configuration)
    ):
        return keys.Identity(BOOTSTRAP_KEY_NAME, ADMINISTRATOR, "")
    return keys.authenticate(header, configuration)


def lacks_administrator(configuration: models.FleetConfiguration) -> bool:
    """Return whether a configuration has no valid, unlimited administrator key."""
    return not any(
        key.role == ADMINISTRATOR
        and not key.services
        and not key.customers
        and not keys.is_expired(key)
        for key in configuration.keys.values()
    )


def require_role(identity: keys.Identity, role: str) -> None:
    """Check that the role of a key is at least ``role``.

    Raises
    ------
    ForbiddenError
        If the role of the key is lower.
    """
    if ROLE_RANKS[identity.role] < ROLE_RANKS[role]:
        raise exceptions.ForbiddenError(
            f"this requires the role {role}, but key {identity.name!r} has the role "
            f"{identity.role}; use another key"
        )


def is_limited(identity: keys.Identity) -> bool:
    """Return whether a key is limited to some services or customers."""
    return bool(identity.services or identity.customers)


def require_unlimited(identity: keys.Identity) -> None:
    """Check that a key is not limited to some services or customers.

    Raises
    ------
    ForbiddenError
        If the key is limited.
    """
    if is_limited(identity):
        raise exceptions.ForbiddenError(
            f"key {identity.name!r} is limited to some customers or services, and this request "
            f"reads or changes the whole fleet; use an unlimited key"
        )


def can_see_customer(identity: keys.Identity, customer: str) -> bool:
    """Return whether a key may see a customer."""
    return not identity.customers or customer in identity.customers


def can_see_service(identity: keys.Identity, service: str) -> bool:
    """Return whether a key may see a service."""
    return not identity.services or service in identity.services


def can_see_key(identity: keys.Identity, key: models.Key) -> bool:
    """Return whether a key may see and create another key, which must have no wider limits."""
    if ROLE_RANKS[identity.role] < ROLE_RANKS[ADMINISTRATOR]:
        return False
    if key.role == "caller":
        customer_visible = can_see_customer(identity, key.customer or "")
    else:
        customer_visible = is_within_limit(key.customers, identity.customers)
    return customer_visible and is_within_limit(key.services, identity.services)


def is_within_limit(inner: list[str], outer: frozenset[str]) -> bool:
    """Return whether limit ``inner`` allows no more than ``outer``; empty means unlimited."""
    return not outer or (bool(inner) and outer.issuperset(inner))


def visible_configuration(
    identity: keys.Identity, configuration: models.FleetConfiguration
) -> models.FleetConfiguration:
    """Return the part of a configuration that a key may see."""
    return configuration.model_copy(
        update={
            "services": {
                name: service
                for name, service in configuration.services.items()
                if can_see_service(identity, name)
            },
            "customers": {
                name: customer
                for name, customer in configuration.customers.items()
                if can_see_customer(identity, name)
            },
            "keys": {
                name: key for name, key in configuration.keys.items() if can_see_key(identity, key)
            },
        }
    )


def merge_hidden(
    identity: keys.Identity, base: models.FleetConfiguration, document: models.FleetConfiguration
) -> models.FleetConfiguration:
    """Return a document completed with the parts of ``base`` that the key may not see.

    Raises
    ------
    ForbiddenError
        If the document sets an existing resource that the key may not see.
    """
    visible = visible_configuration(identity, base)
    merged = {}
    for kind in ("services", "customers", "keys"):
        hidden = {
            name: value
            for name, value in getattr(base, kind).items()
            if name not in getattr(visible, kind)
        }
        conflicting = sorted(hidden.keys() & getattr(document, kind).keys())
        if conflicting:
            raise exceptions.ForbiddenError(
                f"key {identity.name!r} may not set {kind}.{conflicting[0]}; remove it from "
                f"the document or use another key"
            )
        merged[kind] = {**hidden, **getattr(document, kind)}
    return document.model_copy(update=merged)


def check_changes(
    identity: keys.Identity,
    before: models.FleetConfiguration,
    after: models.FleetConfiguration,
) -> list[differences.Difference]:
    """Return the differences between two configurations if the key may make all of them.

    Raises
    ------
    ForbiddenError
        If a change is not allowed; the detail has the path of the first one.
    """
    changes = differences.between(before, after)
    require_role(identity, OPERATOR)
    for change in changes:
        require_role(identity, required_role(change))
        if not is_in_scope(identity, change, before, after):
            raise exceptions.ForbiddenError(
                f"key {identity.name!r} may not change {'.'.join(change.path)}; "
                f"remove this change or use a key with a wider limit"
            )
    return changes


def required_role(change: differences.Difference) -> str:
    """Return the lowest role that may make a change.

    Operators may change customers, but adding or removing one requires an administrator.
    """
    kind = change.path[0]
    if kind == "keys":
        return ADMINISTRATOR
    if kind == "customers" and len(change.path) <= RESOURCE_PATH_LENGTH:
        return ADMINISTRATOR
    return OPERATOR


def is_in_scope(
    identity: keys.Identity,
    change: differences.Difference,
    before: models.FleetConfiguration,
    after: models.FleetConfiguration,
) -> bool:
    """Return whether a change is within the services and customers that the key lists."""
    kind, name = change.path[:RESOURCE_PATH_LENGTH]
    if kind == "keys":
        versions = [before.keys.get(name), after.keys.get(name)]
        return all(can_see_key(identity, key) for key in versions if key is not None)
    if not is_limited(identity):
        return True
    if kind == "services":
        return name in identity.services
    return kind == "customers" and name in identity.customers
