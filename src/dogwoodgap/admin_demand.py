"""Administration route of the learned peak of a service."""

import dataclasses
import typing

import msgspec
from starlette import requests, responses, routing

from dogwoodgap import admin_http, admin_parts, exceptions, keys, profiles, roles, views


class Peaks(typing.Protocol):
    """Knows the demand of services."""

    async def peak(self, service: str, time_zone: str) -> profiles.PeakProposal | None:
        """Return the learned peak window, or None before a week of demand is known."""


class PeakView(msgspec.Struct):
    """Answer to ``GET /admin/v1/services/{name}/peak``; ``proposal`` is absent at first."""

    service: str
    time_zone: str
    active_profile: str
    proposal: profiles.PeakProposal | None


@dataclasses.dataclass
class DemandRoutes:
    """Handler of the learned peak."""

    configuration: admin_parts.Configuration
    peaks: Peaks
    wall: typing.Callable[[], float]

    def routes(self, guard: admin_http.Guard) -> list[routing.Route]:
        """Return all routes."""
        return [guard.route("/services/{name}/peak", "GET", roles.VIEWER, self.peak)]

    async def peak(self, request: requests.Request, identity: keys.Identity) -> responses.Response:
        """Return the peak window learned from past weeks; nothing is applied."""
        name = request.path_params["name"]
        service = self.configuration.current.services.get(name)
        if service is None or not roles.sees_service(identity, name):
            raise exceptions.UnknownServiceError(
                f"service {name!r} is not configured; list services to see their names"
            )
        proposal = await self.peaks.peak(name, service.time_zone)
        active = profiles.active_profile(service, self.wall())
        return views.json_response(PeakView(name, service.time_zone, active, proposal))
