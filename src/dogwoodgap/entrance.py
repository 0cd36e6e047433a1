"""Readiness and directory endpoints of a gateway without a platform."""

import msgspec

from dogwoodgap import gateway, ingress

JSON = [(b"content-type", b"application/json")]


class DiscoveryEndpoints:
    """Implements :class:`dogwoodgap.gateway.DiscoveryEndpoints`; all paths are accepted."""

    def __init__(self, served_gateway: "gateway.Gateway"):
        self.gateway = served_gateway

    async def ready(self, request: ingress.Request, responder: ingress.Responder) -> None:
        """Respond with 200 if the gateway is ready, else 503."""
        await responder.send(200 if self.gateway.ready else 503, [])

    async def directory(self, request: ingress.Request, responder: ingress.Responder) -> None:
        """Respond with the gateway addresses, or 503 if there are none."""
        response = self.gateway.directory_response()
        body = msgspec.json.encode({"addresses": response.addresses, "ttl_seconds": response.ttl_s})
        await responder.send(200 if response.addresses else 503, JSON, body)
