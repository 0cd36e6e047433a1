"""Administration routes for the whole configuration and its history."""

import typing

import msgspec
from starlette import requests, responses, routing

from dogwoodgap import (
    admin_changes,
    admin_http,
    admin_parts,
    keys,
    models,
    roles,
    validation,
    views,
)

DEFAULT_HISTORY_LIMIT = 20
MAX_HISTORY_LIMIT = 500


class ConfigurationRoutes:
    """Handlers below ``/admin/v1/configuration``."""

    def __init__(self, updater: admin_changes.ConfigurationUpdater):
        self.updater = updater
        self.configuration = updater.configuration

    def routes(self, guard: admin_http.Guard) -> list[routing.Route]:
        """Return the routes; those with fixed names are matched before ``/{generation}``."""
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
        """Return the part of the configuration in force that the key may see."""
        return document_response(identity, self.configuration.current)

    async def generation(
        self, request: requests.Request, identity: keys.Identity
    ) -> responses.Response:
        """Return the part of an older generation that the key may see."""
        configuration = await self.configuration.get(request.path_params["generation"])
        return document_response(identity, configuration)

    async def put(self, request: requests.Request, identity: keys.Identity) -> responses.Response:
        """Replace the part of the configuration that the key may see."""
        change = admin_http.parse_change(request, identity)
        document = admin_changes.parse_document(await admin_http.read_json(request))
        return admin_http.change_response(await self.updater.replace(change, document))

    async def rollback(
        self, request: requests.Request, identity: keys.Identity
    ) -> responses.Response:
        """Write the content of an older generation as a new generation."""
        change = admin_http.parse_change(request, identity)
        body = validation.parse_json(
            admin_parts.RollbackRequest, await admin_http.read_body(request)
        )
        return admin_http.change_response(await self.updater.rollback(change, body.generation))

    async def history(
        self, request: requests.Request, identity: keys.Identity
    ) -> responses.Response:
        """Return author, time and note of the latest generations; limited keys get no notes."""
        limit = admin_http.integer_parameter(
            request, "limit", DEFAULT_HISTORY_LIMIT, MAX_HISTORY_LIMIT
        )
        entries = await self.configuration.history(limit)
        return views.json_response([history_view(identity, entry) for entry in entries])

    async def in_force(
        self, request: requests.Request, identity: keys.Identity
    ) -> responses.Response:
        """Return the generation in force on each live node."""
        nodes = dict(await self.configuration.in_force())
        return views.json_response(
            admin_parts.NodeGenerations(self.configuration.current.generation, nodes)
        )


def document_response(
    identity: keys.Identity, configuration: models.FleetConfiguration
) -> responses.Response:
    """Return the part of a configuration that a key may see, with the generation as ETag."""
    document: typing.Any = roles.visible_configuration(identity, configuration).model_dump(
        mode="json"
    )
    return responses.Response(
        msgspec.json.encode(document),
        headers={"ETag": admin_http.etag(configuration.generation)},
        media_type="application/json",
    )


def history_view(
    identity: keys.Identity, entry: admin_parts.HistoryEntry
) -> admin_parts.HistoryView:
    """Return a history entry, without its note for limited keys, which may not see all of it."""
    return admin_parts.HistoryView(
        generation=entry.generation,
        author=entry.author,
        at=entry.at,
        note="" if roles.is_limited(identity) else entry.note,
        change=admin_changes.parse_change_id(entry.note),
    )
