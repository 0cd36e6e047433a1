"""API keys: who sends a request and what it may do."""

import dataclasses
import hashlib
import hmac

from dogwoodgap import clock, exceptions, models


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """The owner of a valid key."""

    name: str
    role: str
    customer: str
    services: frozenset[str] = frozenset()
    customers: frozenset[str] = frozenset()


def digest(token: str) -> str:
    """Return the digest under which a bearer token is stored."""
    return hashlib.sha256(token.encode()).hexdigest()


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
    wanted = digest(token)
    found: Identity | None = None
    for name, key in configuration.keys.items():
        if hmac.compare_digest(key.digest, wanted) and not expired(key):
            found = Identity(
                name,
                key.role,
                key.customer or "",
                frozenset(key.services),
                frozenset(key.customers),
            )
    if found is None:
        raise exceptions.UnauthorizedError(
            "the key is unknown, expired or revoked; ask an operator for a new one"
        )
    return found


def expired(key: models.Key) -> bool:
    """Return whether the key's end of validity has passed."""
    return key.not_after > 0.0 and clock.wall() >= key.not_after
