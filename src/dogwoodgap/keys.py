"""API keys: who sends a request and what it may do."""

import dataclasses
import hashlib
import hmac

from dogwoodgap import clock, exceptions, models

CALLER_ROLES = frozenset({"caller", "administrator"})


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """The owner of a valid key."""

    name: str
    role: str
    customer: str
    services: frozenset[str] = frozenset()
    customers: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class IndexedKey:
    """A key under its digest."""

    name: str
    key: models.Key


def digest(token: str) -> str:
    """Return the digest under which a bearer token is stored."""
    return hashlib.sha256(token.encode()).hexdigest()


class KeyIndex:
    """Keys of one configuration by digest.

    A lookup takes the same time for known and unknown tokens but for the dictionary probe, whose
    timing reveals only parts of a SHA-256 digest that a sender cannot steer.
    """

    def __init__(self, configuration: models.FleetConfiguration):
        self.configuration = configuration
        self.by_digest: dict[str, list[IndexedKey]] = {}
        for name, key in configuration.keys.items():
            self.by_digest.setdefault(key.digest, []).append(IndexedKey(name, key))

    def find(self, token: str) -> IndexedKey | None:
        """Return the valid key of a token."""
        token_digest = digest(token)
        for item in self.by_digest.get(token_digest, ()):
            if hmac.compare_digest(item.key.digest, token_digest) and not is_expired(item.key):
                return item
        return None


_indexes: list[KeyIndex] = []


def index_for(configuration: models.FleetConfiguration) -> KeyIndex:
    """Return the index of a configuration, built once for each configuration object."""
    if not _indexes or _indexes[0].configuration is not configuration:
        _indexes[:] = [KeyIndex(configuration)]
    return _indexes[0]


def authenticate(header: str, configuration: models.FleetConfiguration) -> Identity:
    """Return the identity behind an ``Authorization`` header.

    Raises
    ------
    UnauthorizedError
        When the key is missing, unknown or expired.
    """
    scheme, _, token = header.partition(" ")
    if scheme.lower() != "bearer" or not token:
        raise exceptions.UnauthorizedError("send the header 'Authorization: Bearer <key>'")
    found = index_for(configuration).find(token)
    if found is None:
        raise exceptions.UnauthorizedError(
            "the key is unknown, expired or revoked; ask an operator for a new one"
        )
    return Identity(
        found.name,
        found.key.role,
        found.key.customer or "",
        frozenset(found.key.services),
        frozenset(found.key.customers),
    )


def check_caller(identity: Identity) -> None:
    """Refuse keys that may not run programs.

    Raises
    ------
    ForbiddenError
        When the key names no customer or its role is not a caller's.
    """
    if not identity.customer:
        raise exceptions.ForbiddenError(
            f"key {identity.name!r} names no customer; use a key of a customer"
        )
    if identity.role not in CALLER_ROLES:
        raise exceptions.ForbiddenError(
            f"role {identity.role!r} may not run programs; use a key with the role 'caller'"
        )


def check_service(identity: Identity, service: str) -> None:
    """Refuse services outside the scope of a key.

    Raises
    ------
    ForbiddenError
        When the key lists services and this is none of them.
    """
    if identity.services and service not in identity.services:
        raise exceptions.ForbiddenError(
            f"key {identity.name!r} may not use service {service!r}; "
            f"use one of {', '.join(sorted(identity.services))}"
        )


def is_expired(key: models.Key) -> bool:
    """Return whether the key's end of validity has passed."""
    return key.not_after > 0.0 and clock.wall() >= key.not_after
