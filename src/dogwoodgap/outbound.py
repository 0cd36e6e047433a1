"""HTTP clients of the node, made so that an idle node stays small.

httpx loads the trust store of certifi for each client, also when all addresses are plain ``http``;
two clients cost 2.0 MB of an idle node. Clients made here share one context, and it loads the
trust store before the first request to an ``https`` address. Proxies named by the environment are
not used, since nodes connect to backend servers and to the platform directly.
"""

import ssl
import typing

import certifi
import httpx


class LazyTrustStore:
    """A TLS context whose trusted authorities are loaded when they are needed.

    Until then the context trusts nothing, so that an early connection fails instead of being
    unchecked.
    """

    def __init__(self) -> None:
        self.context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        self.is_loaded = False

    async def prepare(self, request: httpx.Request) -> None:
        """Load the authorities before the first request that needs them."""
        if request.url.scheme == "https":
            self.load()

    def load(self) -> None:
        """Load the authorities of certifi, once."""
        if not self.is_loaded:
            self.context.load_verify_locations(certifi.where())
            self.is_loaded = True


trust_store = LazyTrustStore()


def create_client(**options: typing.Any) -> httpx.AsyncClient:
    """Return a client with the shared context; options are those of ``httpx.AsyncClient``."""
    return httpx.AsyncClient(
        verify=trust_store.context,
        event_hooks={"request": [trust_store.prepare]},
        trust_env=False,
        **options,
    )
