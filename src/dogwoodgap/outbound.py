"""HTTP clients that share one lazily loaded TLS context, to reduce memory use.

httpx loads the certifi trust store for each client, even if all addresses are plain ``http``; with
two clients this took 2.0 MB of an idle node. Clients created here share one context, which loads
the trust store before the first request to an ``https`` address. Proxy settings from the
environment are ignored, since nodes connect to backend servers and the platform directly.
"""

import ssl
import typing

import certifi
import httpx


class LazyTrustStore:
    """A TLS context whose trusted authorities are loaded on first use.

    Until then the context trusts no authority, so an early connection fails certificate
    verification instead of skipping it.
    """

    def __init__(self) -> None:
        self.context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        self.is_loaded = False

    async def prepare(self, request: httpx.Request) -> None:
        """Load the authorities before the first https request; an httpx request hook."""
        if request.url.scheme == "https":
            self.load()

    def load(self) -> None:
        """Load the certifi authorities unless they are loaded already."""
        if not self.is_loaded:
            self.context.load_verify_locations(certifi.where())
            self.is_loaded = True


trust_store = LazyTrustStore()


def create_client(**options: typing.Any) -> httpx.AsyncClient:
    """Return a client with the shared TLS context; takes the options of ``httpx.AsyncClient``."""
    return httpx.AsyncClient(
        verify=trust_store.context,
        event_hooks={"request": [trust_store.prepare]},
        trust_env=False,
        **options,
    )
