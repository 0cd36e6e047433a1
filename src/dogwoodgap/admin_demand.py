"""Administration route for the daily peak of a service, learned from its demand."""

import dataclasses
import typing

import msgspec
from starlette import requests, responses, routing

from dogwoodgap import admin_http, admin_parts, exceptions, keys, profiles, roles, views


class PeakSource(typing.Protocol):
    """Learns peak windows from the recorded demand of services."""

    async def peak(self, service: str, time_zone: str) -> profiles.PeakProposal | None:
        """Return the proposed peak window, or None without a week of recorded demand."""


class PeakView(msgspec.Struct):
    """Response to ``GET /admin/v1/services/{name}/peak``.

    ``proposal`` is null without a week of recorded demand.
    """

    service: str
    time_zone: str
    active_profile: str
    proposal: profiles.PeakProposal | None


@dataclasses.dataclass
class DemandRoutes:
    """Handler of the route for learned peaks; ``wall`` returns wall time in seconds."""

    configuration: admin_parts.Configuration
    peak_source: PeakSource
    wall: typing.Callable[[], float]

    def routes(self, guard: admin_http.Guard) -> list[routing.Route]:
        """Return the routes of this class."""
        return [guard.route("/services/{name}/peak", "GET", roles.VIEWER, self.peak)]

    async def peak(self, request: requests.Request, identity: keys.Identity) -> responses.Response:
        """Return the peak window learned from past weeks, without applying it."""
        name = request.path_params["name"]
        service = self.configuration.current.services.get(name)
        if service is None or not roles.can_see_service(identity, name):
            raise exceptions.UnknownServiceError(
                f"service {name!r} is not configured or not visible to this key; list the services "
                f"with GET /admin/v1/services"
            )
        proposal = await self.peak_source.peak(name, service.time_zone)
        active = profiles.active_profile(service, self.wall())
        return views.json_response(PeakView(name, service.time_zone, active, proposal))
