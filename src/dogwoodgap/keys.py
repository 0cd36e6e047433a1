"""Authentication by API keys, and checks of what a caller's key may do."""

import dataclasses
import hashlib
import hmac

from dogwoodgap import clock, exceptions, models

CALLER_ROLES = frozenset({"caller", "administrator"})


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Name, role and limits of a valid key; empty sets mean no limit."""

    name: str
    role: str
    customer: str
    services: frozenset[str] = frozenset()
    customers: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class IndexedKey:
    """A key with its name in the configuration."""

    name: str
    key: models.Key


def digest(token: str) -> str:
    """Return the SHA-256 digest of a bearer token, which is stored in place of the token."""
    return hashlib.sha256(token.encode()).hexdigest()


class KeyIndex:
    """Finds the keys of one configuration by digest.

    Digests are compared in constant time. The timing of the dictionary lookup before it reveals
    at most parts of a SHA-256 digest, which a sender cannot choose.
    """

    def __init__(self, configuration: models.FleetConfiguration):
        self.configuration = configuration
        self.by_digest: dict[str, list[IndexedKey]] = {}
        for name, key in configuration.keys.items():
            self.by_digest.setdefault(key.digest, []).append(IndexedKey(name, key))

    def find(self, token: str) -> IndexedKey | None:
        """Return the key of a token, or None if there is none or it has expired."""
        token_digest = digest(token)
        for indexed_key in self.by_digest.get(token_digest, ()):
            if hmac.compare_digest(indexed_key.key.digest, token_digest) and not is_expired(
                indexed_key.key
            ):
                return indexed_key
        return None


_cached_index: list[KeyIndex] = []
"""Index of the configuration that was looked up last; at most one element."""


def index_for(configuration: models.FleetConfiguration) -> KeyIndex:
    """Return the index of a configuration; the index of the latest one is cached."""
    if not _cached_index or _cached_index[0].configuration is not configuration:
        _cached_index[:] = [KeyIndex(configuration)]
    return _cached_index[0]


def authenticate(header: str, configuration: models.FleetConfiguration) -> Identity:
    """Return the identity of the key in an ``Authorization`` header.

    Raises
    ------
    UnauthorizedError
        If the key is missing, unknown or expired.
    """
    scheme, _, token = header.partition(" ")
    if scheme.lower() != "bearer" or not token:
        raise exceptions.UnauthorizedError("send the header 'Authorization: Bearer <key>'")
    indexed_key = index_for(configuration).find(token)
    if indexed_key is None:
        raise exceptions.UnauthorizedError(
            "the key is unknown, expired or revoked; ask an operator for a new one"
        )
    return Identity(
        indexed_key.name,
        indexed_key.key.role,
        indexed_key.key.customer or "",
        frozenset(indexed_key.key.services),
        frozenset(indexed_key.key.customers),
    )


def check_caller(identity: Identity) -> None:
    """Check that a key may run programs.

    Raises
    ------
    ForbiddenError
        If the key has no customer or its role is not in ``CALLER_ROLES``.
    """
    if not identity.customer:
        raise exceptions.ForbiddenError(
            f"key {identity.name!r} has no customer; use a key that has one"
        )
    if identity.role not in CALLER_ROLES:
        raise exceptions.ForbiddenError(
            f"role {identity.role!r} may not run programs; use a key with the role 'caller'"
        )


def check_service(identity: Identity, service: str) -> None:
    """Check that a key may use a service.

    Raises
    ------
    ForbiddenError
        If the key lists services and this is not one of them.
    """
    if identity.services and service not in identity.services:
        raise exceptions.ForbiddenError(
            f"key {identity.name!r} may not use service {service!r}; "
            f"use one of {', '.join(sorted(identity.services))}"
        )


def is_expired(key: models.Key) -> bool:
    """Return whether ``not_after`` has passed; 0 means that the key never expires."""
    return key.not_after > 0.0 and clock.wall_time() >= key.not_after
