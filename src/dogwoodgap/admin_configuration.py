"""Administration routes of the whole configuration."""

import typing

import msgspec
from starlette import requests, responses, routing

from dogwoodgap import admin_changes, admin_http, admin_parts, keys, models, roles, views

DEFAULT_HISTORY = 20
MAX_HISTORY = 500


class ConfigurationRoutes:
    """Handlers below ``/admin/v1/configuration``."""

    def __init__(self, changes: admin_changes.Changes):
        self.changes = changes
        self.configuration = changes.configuration

    def routes(self, guard: admin_http.Guard) -> list[routing.Route]:
        """Return the routes; fixed names come before generations."""
        base = "/configuration"
        return [
            guard.route(base, "GET", roles.VIEWER, self.get),
            guard.route(base, "PUT", roles.OPERATOR, self.put),
            guard.route(f"{base}/history", "GET", roles.VIEWER, self.history),
            guard.route(f"{base}/in-force", "GET", roles.VIEWER, self.in_force),
            guard.route(f"{base}/rollback", "POST", roles.OPERATOR, self.rollback),
            guard.route(f"{base}/{{generation:int}}", "GET", roles.VIEWER, self.generation),
        ]

    async def get(self, request: requests.Request, identity: keys.Identity) -> responses.Response:
        """Return the configuration in force, as far as the key sees it."""
        return document_response(identity, self.configuration.current)

    async def generation(
        self, request: requests.Request, identity: keys.Identity
    ) -> responses.Response:
        """Return an older generation."""
        found = await self.configuration.get(request.path_params["generation"])
        return document_response(identity, found)

    async def put(self, request: requests.Request, identity: keys.Identity) -> responses.Response:
        """Replace the configuration."""
        change = admin_http.change_of(request, identity)
        document = admin_changes.parse_document(await admin_http.read_json(request))
        return admin_http.outcome(await self.changes.replace(change, document))

    async def rollback(
        self, request: requests.Request, identity: keys.Identity
    ) -> responses.Response:
        """Return to the content of an older generation."""
        change = admin_http.change_of(request, identity)
        body = models.parse(admin_parts.RollbackRequest, await admin_http.read(request))
        return admin_http.outcome(await self.changes.rollback(change, body.generation))

    async def history(
        self, request: requests.Request, identity: keys.Identity
    ) -> responses.Response:
        """Return who changed what; limited keys do not see the notes."""
        limit = admin_http.number(request, "limit", DEFAULT_HISTORY, MAX_HISTORY)
        entries = await self.configuration.history(limit)
        return views.json_response([history_view(identity, entry) for entry in entries])

    async def in_force(
        self, request: requests.Request, identity: keys.Identity
    ) -> responses.Response:
        """Return the generation in force on each live node."""
        nodes = dict(await self.configuration.in_force())
        return views.json_response(
            admin_parts.InForce(self.configuration.current.generation, nodes)
        )


def document_response(
    identity: keys.Identity, configuration: models.FleetConfiguration
) -> responses.Response:
    """Return what a key sees of a configuration, with its generation as ETag."""
    document: typing.Any = roles.visible(identity, configuration).model_dump(mode="json")
    return responses.Response(
        msgspec.json.encode(document),
        headers={"ETag": admin_http.etag(configuration.generation)},
        media_type="application/json",
    )


def history_view(
    identity: keys.Identity, entry: admin_parts.HistoryEntry
) -> admin_parts.HistoryView:
    """Return a history entry; its note may name resources that a limited key does not see."""
    return admin_parts.HistoryView(
        generation=entry.generation,
        author=entry.author,
        at=entry.at,
        note="" if roles.is_limited(identity) else entry.note,
        change=admin_changes.change_of(entry.note),
    )
