"""The administration API, mounted at ``/admin/v1``.

Every request needs a bearer key with a role; see module ``roles``. Every configuration change is
conditional on the generation that the operator has read (``If-Match``) and is stored in the
history with its author and its differences.
"""

import collections.abc
import dataclasses

from starlette import applications, requests, responses
from starlette import exceptions as starlette_exceptions

from dogwoodgap import (
    admin_changes,
    admin_configuration,
    admin_demand,
    admin_fleet,
    admin_http,
    admin_parts,
    admin_resources,
    clock,
    exceptions,
    views,
)

PREFIX = "/admin/v1"


@dataclasses.dataclass
class Administration:
    """The administration API of one node.

    Attributes
    ----------
    bootstrap_digest : str
        SHA-256 of the bootstrap token, which has administrator rights while no valid, unlimited
        administrator key is configured; empty disables it.
    is_configured : callable
        Returns whether this node has loaded the fleet configuration; until then every request
        is refused.
    """

    configuration: admin_parts.Configuration
    programs: admin_parts.Programs
    nodes: admin_parts.Nodes
    peak_source: admin_demand.PeakSource
    bootstrap_digest: str = ""
    is_configured: collections.abc.Callable[[], bool] = lambda: True

    def __post_init__(self):
        self.guard = admin_http.Guard(self.configuration, self.bootstrap_digest, self.is_configured)

    def build(self) -> applications.Starlette:
        """Return the ASGI application, to be mounted at ``PREFIX``."""
        updater = admin_changes.ConfigurationUpdater(self.configuration, self.bootstrap_digest)
        fleet = admin_fleet.FleetRoutes(self.configuration, self.programs, self.nodes)
        demand = admin_demand.DemandRoutes(self.configuration, self.peak_source, clock.wall_time)
        routes = [
            *admin_configuration.ConfigurationRoutes(updater).routes(self.guard),
            *admin_resources.ResourceRoutes(updater).routes(self.guard),
            *fleet.routes(self.guard),
            *demand.routes(self.guard),
        ]
        return applications.Starlette(
            routes=routes,
            exception_handlers={starlette_exceptions.HTTPException: handle_unknown_route},
        )


async def handle_unknown_route(request: requests.Request, error: Exception) -> responses.Response:
    """Return a problem document for an unknown path or method."""
    return views.problem_response(
        exceptions.NotFoundError(
            f"{request.method} {request.url.path} is not part of the administration API; "
            f"see docs/OPERATIONS.md"
        )
    )
