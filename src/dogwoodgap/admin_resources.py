"""Administration routes of single resources, as edits of the whole configuration."""

import dataclasses
import re
import secrets
import typing

import msgspec
from starlette import requests, responses, routing

from dogwoodgap import (
    admin_changes,
    admin_http,
    admin_parts,
    clock,
    exceptions,
    keys,
    models,
    roles,
    views,
)

TOKEN_BYTES = 32
ROTATED_NAME = re.compile(r"^(.+)\.r\d+$")


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of resource: its collection in the configuration and the roles that it needs."""

    collection: str
    read_role: str
    write_role: str


KINDS = (
    Kind("profiles", roles.VIEWER, roles.OPERATOR),
    Kind("services", roles.VIEWER, roles.OPERATOR),
    # Changing the limits of a customer needs less than adding one; see roles.role_for.
    Kind("customers", roles.VIEWER, roles.OPERATOR),
    Kind("keys", roles.ADMINISTRATOR, roles.ADMINISTRATOR),
)


@dataclasses.dataclass
class ResourceRoutes:
    """Handlers of profiles, services, customers, runners and keys."""

    changes: admin_changes.Changes

    def routes(self, guard: admin_http.Guard) -> list[routing.Route]:
        """Return all routes."""
        return [
            *(route for kind in KINDS for route in self.kind_routes(guard, kind)),
            guard.route("/runners", "GET", roles.VIEWER, self.list_runners),
            *self.runner_routes(guard),
            guard.route("/keys/{name}", "POST", roles.ADMINISTRATOR, self.create_key),
            guard.route("/keys/{name}/rotation", "POST", roles.ADMINISTRATOR, self.rotate_key),
        ]

    def kind_routes(self, guard: admin_http.Guard, kind: Kind) -> list[routing.Route]:
        """Return the routes of one kind."""
        collection = Collection(self.changes, kind.collection)
        base = f"/{kind.collection}"
        return [
            guard.route(base, "GET", kind.read_role, collection.list),
            guard.route(f"{base}/{{name}}", "GET", kind.read_role, collection.get),
            guard.route(f"{base}/{{name}}", "PUT", kind.write_role, collection.put),
            guard.route(f"{base}/{{name}}", "DELETE", kind.write_role, collection.delete),
        ]

    def runner_routes(self, guard: admin_http.Guard) -> list[routing.Route]:
        """Return the routes of the runners of a service."""
        path = "/services/{service}/runners/{name}"
        return [
            guard.route(path, "GET", roles.VIEWER, self.get_runner),
            guard.route(path, "PUT", roles.OPERATOR, self.put_runner),
            guard.route(path, "DELETE", roles.OPERATOR, self.delete_runner),
        ]

    async def list_runners(
        self, request: requests.Request, identity: keys.Identity
    ) -> responses.Response:
        """Return the runners of all services that the key sees, by service."""
        current = self.changes.configuration.current
        seen = roles.visible(identity, current).services
        document = {
            name: {runner.id: runner.model_dump(mode="json") for runner in service.runners}
            for name, service in seen.items()
        }
        return tagged(document, current)

    async def get_runner(
        self, request: requests.Request, identity: keys.Identity
    ) -> responses.Response:
        """Return one runner."""
        current = self.changes.configuration.current
        service = service_of(roles.visible(identity, current), request.path_params["service"])
        name = request.path_params["name"]
        for runner in service.runners:
            if runner.id == name:
                return tagged(runner.model_dump(mode="json"), current)
        raise missing("runners", name)

    async def put_runner(
        self, request: requests.Request, identity: keys.Identity
    ) -> responses.Response:
        """Add or replace one runner."""
        change = admin_http.change_of(request, identity)
        name = request.path_params["name"]
        body = await admin_http.read_json(request)
        runner = admin_changes.parse_part(models.Runner, f"runners.{name}", body, {"id": name})

        def edit(base: models.FleetConfiguration) -> models.FleetConfiguration:
            service = service_of(roles.visible(identity, base), request.path_params["service"])
            runners = [item for item in service.runners if item.id != name]
            return with_runners(base, request.path_params["service"], [*runners, runner])

        return admin_http.outcome(await self.changes.commit(change, edit))

    async def delete_runner(
        self, request: requests.Request, identity: keys.Identity
    ) -> responses.Response:
        """Remove one runner."""
        change = admin_http.change_of(request, identity)
        name = request.path_params["name"]

        def edit(base: models.FleetConfiguration) -> models.FleetConfiguration:
            service = service_of(roles.visible(identity, base), request.path_params["service"])
            runners = [item for item in service.runners if item.id != name]
            if len(runners) == len(service.runners):
                raise missing("runners", name)
            return with_runners(base, request.path_params["service"], runners)

        return admin_http.outcome(await self.changes.commit(change, edit))

    async def create_key(
        self, request: requests.Request, identity: keys.Identity
    ) -> responses.Response:
        """Create a key; the answer holds its token, which is stored nowhere."""
        change = admin_http.change_of(request, identity)
        name = request.path_params["name"]
        body = await admin_http.read_model(request, admin_parts.KeyRequest)
        if body.role == "caller" and body.customer is None:
            raise exceptions.SettingsInvalidError(
                f"keys.{name}.customer is missing; a caller's key names its customer"
            )
        token = secrets.token_urlsafe(TOKEN_BYTES)
        key = models.Key(digest=keys.digest(token), **body.model_dump())

        def edit(base: models.FleetConfiguration) -> models.FleetConfiguration:
            if name in base.keys:
                raise exceptions.ConflictError(
                    f"the key {name!r} exists; choose another name or rotate it"
                )
            return with_resource(base, "keys", name, key.model_dump(mode="json"))

        return with_token(await self.changes.commit(change, edit), name, token)

    async def rotate_key(
        self, request: requests.Request, identity: keys.Identity
    ) -> responses.Response:
        """Create a successor with the same rights; the old key stays valid for the overlap."""
        change = admin_http.change_of(request, identity)
        name = request.path_params["name"]
        body = await admin_http.read_model(request, admin_parts.RotationRequest)
        token = secrets.token_urlsafe(TOKEN_BYTES)
        successor = successor_name(name, change.expected)

        def edit(base: models.FleetConfiguration) -> models.FleetConfiguration:
            old = roles.visible(identity, base).keys.get(name)
            if old is None:
                raise missing("keys", name)
            if keys.expired(old):
                raise exceptions.ConflictError(f"the key {name!r} has expired; create a new one")
            end = clock.wall() + body.overlap_seconds
            ending = old.model_copy(update={"not_after": min(old.not_after or end, end)})
            new = old.model_copy(update={"digest": keys.digest(token), "not_after": 0.0})
            base = with_resource(base, "keys", name, ending.model_dump(mode="json"))
            return with_resource(base, "keys", successor, new.model_dump(mode="json"))

        return with_token(await self.changes.commit(change, edit), successor, token)


@dataclasses.dataclass
class Collection:
    """Handlers of one collection of the configuration."""

    changes: admin_changes.Changes
    name: str

    def seen(
        self, identity: keys.Identity, base: models.FleetConfiguration
    ) -> dict[str, typing.Any]:
        """Return the resources that a key sees."""
        return getattr(roles.visible(identity, base), self.name)

    async def list(self, request: requests.Request, identity: keys.Identity) -> responses.Response:
        """Return all resources by name."""
        current = self.changes.configuration.current
        found = self.seen(identity, current)
        return tagged({name: item.model_dump(mode="json") for name, item in found.items()}, current)

    async def get(self, request: requests.Request, identity: keys.Identity) -> responses.Response:
        """Return one resource."""
        current = self.changes.configuration.current
        name = request.path_params["name"]
        found = self.seen(identity, current).get(name)
        if found is None:
            raise missing(self.name, name)
        return tagged(found.model_dump(mode="json"), current)

    async def put(self, request: requests.Request, identity: keys.Identity) -> responses.Response:
        """Add or replace one resource."""
        change = admin_http.change_of(request, identity)
        name = request.path_params["name"]
        body = await admin_http.read_json(request)
        result = await self.changes.commit(
            change, lambda base: with_resource(base, self.name, name, body)
        )
        return admin_http.outcome(result)

    async def delete(
        self, request: requests.Request, identity: keys.Identity
    ) -> responses.Response:
        """Remove one resource."""
        change = admin_http.change_of(request, identity)
        name = request.path_params["name"]

        def edit(base: models.FleetConfiguration) -> models.FleetConfiguration:
            if name not in self.seen(identity, base):
                raise missing(self.name, name)
            return without_resource(base, self.name, name)

        return admin_http.outcome(await self.changes.commit(change, edit))


def tagged(document: typing.Any, current: models.FleetConfiguration) -> responses.Response:
    """Return a document with the generation that it belongs to."""
    response = views.json_response(document)
    response.headers["ETag"] = admin_http.etag(current.generation)
    return response


def with_token(result: admin_parts.Outcome, name: str, token: str) -> responses.Response:
    """Return the answer to a new key; a dry run creates no token."""
    shown = token if result.applied else ""
    return admin_http.outcome(msgspec.structs.replace(result, name=name, token=shown), 201)


def successor_name(name: str, generation: int) -> str:
    """Return the name of a rotated key, unique by the generation that creates it."""
    match = ROTATED_NAME.match(name)
    return f"{match.group(1) if match else name}.r{generation + 1}"


def with_resource(
    base: models.FleetConfiguration, collection: str, name: str, value: typing.Any
) -> models.FleetConfiguration:
    """Return the configuration with one resource added or replaced."""
    document = base.model_dump(mode="json")
    document[collection][name] = value
    return admin_changes.parse_document(document)


def without_resource(
    base: models.FleetConfiguration, collection: str, name: str
) -> models.FleetConfiguration:
    """Return the configuration without one resource."""
    document = base.model_dump(mode="json")
    del document[collection][name]
    return admin_changes.parse_document(document)


def with_runners(
    base: models.FleetConfiguration, service: str, runners: list[models.Runner]
) -> models.FleetConfiguration:
    """Return the configuration with other runners of a service, sorted by id."""
    document = base.model_dump(mode="json")
    ordered = sorted(runners, key=lambda runner: runner.id)
    document["services"][service]["runners"] = [item.model_dump(mode="json") for item in ordered]
    return admin_changes.parse_document(document)


def service_of(configuration: models.FleetConfiguration, name: str) -> models.Service:
    """Return a service that the key sees."""
    service = configuration.services.get(name)
    if service is None:
        raise exceptions.UnknownServiceError(
            f"service {name!r} is not configured or not visible to this key; "
            f"use one of {', '.join(sorted(configuration.services))}"
        )
    return service


def missing(collection: str, name: str) -> exceptions.NotFoundError:
    """Return the error for a resource that does not exist or is not visible."""
    return exceptions.NotFoundError(
        f"{collection}.{name} does not exist or is not visible to this key; "
        f"list them with GET /admin/v1/{collection}"
    )
