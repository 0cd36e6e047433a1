"""Finds the customer of a request by its key."""

import collections.abc
import dataclasses
import hashlib
import hmac
import typing

from dogwoodgap import dialect, exceptions, exposition, routes
from dogwoodgap.customers import currency

AUTHORIZATION = b"authorization"

RETRY_AFTER_S = 0.25
"""Retry delay of a caller while this gateway cannot confirm its routes. Another gateway may be able
to, and this one asks again about twice a second."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request has no customer: a label for metrics, and a text without the key."""

    reason: str
    detail: str


class Authenticator:
    """Finds the customers of requests on one gateway.

    Parameters
    ----------
    header_codec : dialect.HeaderCodec
        Names of the headers.

    Attributes
    ----------
    currency : currency.RoutesCurrency
        Tells whether the routes are new enough to accept keys.
    """

    def __init__(self, header_codec: dialect.HeaderCodec):
        self.header_codec = header_codec
        self.currency = currency.RoutesCurrency()
        self.removed_headers = (AUTHORIZATION, header_codec.names.customer)

    def authenticate(
        self, call: dialect.Call, route: routes.Route, table: routes.RouteTable
    ) -> None:
        """Set the customer of a request, and remove its key from the forwarded headers.

        A table without customers changes nothing. On a public route, a request without a known key
        has no customer; while the routes cannot be confirmed, that holds for all its requests.

        Raises
        ------
        UnauthorizedError
            If the key is missing or unknown and the route requires one.
        NotReadyError
            If this gateway cannot tell whether the key has been taken away.
        """
        if not table.customers:
            return
        credentials = self.remove_headers(call, AUTHORIZATION)
        call.is_authenticated = True
        if route.public and not credentials:
            return
        if not self.currency.is_confirmed():
            if not route.public:
                exposition.key_refusals.labels("unconfirmed").inc()
                raise exceptions.NotReadyError(
                    f"this gateway cannot confirm that its {self.describe(table)} are the newest; "
                    "use another one, or retry",
                    retry_after_s=RETRY_AFTER_S,
                )
            return
        found = self.find_customer(credentials, table)
        if isinstance(found, routes.Customer):
            call.customer = found.name
        elif not route.public:
            exposition.key_refusals.labels(found.reason).inc()
            raise exceptions.UnauthorizedError(f"{found.detail} ({self.describe(table)})")

    def accept_relayed(self, call: dialect.Call, table: routes.RouteTable) -> None:
        """Set the customer of a request that another gateway has authenticated.

        Raises
        ------
        InvalidRequestError
            If the request names several customers.
        """
        if not table.customers:
            return
        customers = self.remove_headers(call, self.header_codec.names.customer)
        if len(customers) > 1:
            raise exceptions.InvalidRequestError(
                "another gateway named several customers; check its version"
            )
        call.is_authenticated = True
        if customers:
            call.customer = customers[0].decode("latin-1")

    def remove_headers(self, call: dialect.Call, wanted: bytes) -> list[bytes]:
        """Remove keys and names of customers from a request; return the values of one header."""
        values = [value for name, value in call.headers if name == wanted]
        call.headers = [pair for pair in call.headers if pair[0] not in self.removed_headers]
        return values

    def find_customer(
        self, credentials: collections.abc.Sequence[bytes], table: routes.RouteTable
    ) -> routes.Customer | Refusal:
        """Return the customer with a key, or why there is none."""
        scheme = self.header_codec.names.key_scheme
        header = f"'Authorization: {scheme.decode('latin-1').capitalize()} KEY'"
        if len(credentials) != 1:
            reason = "repeated" if credentials else "missing"
            return Refusal(reason, f"{len(credentials)} keys were sent; send {header} once")
        sent_scheme, _, key = credentials[0].strip(b" \t").partition(b" ")
        key = key.strip(b" \t")
        if sent_scheme.lower() != scheme:
            return Refusal("scheme", f"the scheme is another one; send {header}")
        if not key:
            return Refusal("empty", f"the key is empty; send {header}")
        digest = hashlib.sha256(key).digest()
        # The time of the lookup depends on the digest, from which nothing of the key follows.
        known = table.keys.get(digest)
        if known is None or not hmac.compare_digest(known.digest, digest):
            detail = "the key is unknown or was taken away; ask an operator for a new one"
            return Refusal("unknown", detail)
        return known.customer

    def describe(self, table: routes.RouteTable) -> str:
        """Return the version of the routes and how old the proof is that it is the newest."""
        age_ms = self.currency.age_ms()
        confirmed = "never confirmed" if age_ms is None else f"confirmed {age_ms} ms ago"
        return f"routes of version {table.version}, {confirmed}"

    def log_fields(
        self, call: dialect.Call, route: routes.Route, table: routes.RouteTable
    ) -> dict[str, typing.Any]:
        """Return the fields for the log line of a request; none without customers."""
        if not table.customers:
            return {}
        return {
            "customer": call.customer,
            "priority": table.priority(route, call.customer),
            "routes_proof_ms": self.currency.age_ms(),
        }
