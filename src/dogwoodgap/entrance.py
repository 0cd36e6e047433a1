"""The readiness check and the callers' directory of a gateway without a platform."""

import msgspec

from dogwoodgap import gateway, ingress

JSON = [(b"content-type", b"application/json")]


class DiscoveryEndpoints:
    """Implements :class:`dogwoodgap.gateway.DiscoveryEndpoints` with the product's own paths."""

    def __init__(self, served_gateway: "gateway.Gateway"):
        self.gateway = served_gateway

    async def ready(self, request: ingress.Request, responder: ingress.Responder) -> None:
        """Answer the readiness check."""
        await responder.send(200 if self.gateway.ready else 503, [])

    async def directory(self, request: ingress.Request, responder: ingress.Responder) -> None:
        """Answer a caller that asks for addresses."""
        answer = self.gateway.directory_response()
        body = msgspec.json.encode({"addresses": answer.addresses, "ttl_seconds": answer.ttl_s})
        await responder.send(200 if answer.addresses else 503, JSON, body)
