"""The administration API, mounted under ``/admin/v1``.

Every request needs a bearer key with a role; see module ``roles``. Every change is conditional on
the generation that the operator saw (``If-Match``) and is written to the history with its author
and its differences.
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
        SHA-256 of a token that is an administrator while no valid, unlimited administrator key
        is configured; empty turns it off.
    is_configured : callable
        Whether this node knows the fleet's configuration; until then every request is refused.
    """

    configuration: admin_parts.Configuration
    programs: admin_parts.Programs
    nodes: admin_parts.Nodes
    peaks: admin_demand.Peaks
    bootstrap_digest: str = ""
    is_configured: collections.abc.Callable[[], bool] = lambda: True

    def __post_init__(self):
        self.guard = admin_http.Guard(self.configuration, self.bootstrap_digest, self.is_configured)

    def build(self) -> applications.Starlette:
        """Return the ASGI application; mount it at ``PREFIX``."""
        changes = admin_changes.Changes(self.configuration, self.bootstrap_digest)
        fleet = admin_fleet.FleetRoutes(self.configuration, self.programs, self.nodes)
        demand = admin_demand.DemandRoutes(self.configuration, self.peaks, clock.wall)
        routes = [
            *admin_configuration.ConfigurationRoutes(changes).routes(self.guard),
            *admin_resources.ResourceRoutes(changes).routes(self.guard),
            *fleet.routes(self.guard),
            *demand.routes(self.guard),
        ]
        return applications.Starlette(
            routes=routes, exception_handlers={starlette_exceptions.HTTPException: on_unknown}
        )


async def on_unknown(request: requests.Request, error: Exception) -> responses.Response:
    """Turn an unknown path or method into a problem document."""
    return views.problem_response(
        exceptions.NotFoundError(
            f"{request.method} {request.url.path} is not part of the administration API; "
            f"see docs/OPERATIONS.md"
        )
    )
