"""Administration routes for single resources, applied as edits of the whole configuration."""

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
ROTATED_NAME_PATTERN = re.compile(r"^(.+)\.r\d+$")


@dataclasses.dataclass(frozen=True, slots=True)
class ResourceKind:
    """Field of the configuration that holds a kind of resource, and the roles for its routes."""

    collection: str
    read_role: str
    write_role: str


RESOURCE_KINDS = (
    ResourceKind("profiles", roles.VIEWER, roles.OPERATOR),
    ResourceKind("services", roles.VIEWER, roles.OPERATOR),
    # Adding or removing a customer needs an administrator; see roles.required_role.
    ResourceKind("customers", roles.VIEWER, roles.OPERATOR),
    ResourceKind("keys", roles.ADMINISTRATOR, roles.ADMINISTRATOR),
)


@dataclasses.dataclass
class ResourceRoutes:
    """Handlers of the routes for profiles, services, customers, runners and keys."""

    updater: admin_changes.ConfigurationUpdater

    def routes(self, guard: admin_http.Guard) -> list[routing.Route]:
        """Return the routes of this class."""
        return [
            *(route for kind in RESOURCE_KINDS for route in self.kind_routes(guard, kind)),
            guard.route("/runners", "GET", roles.VIEWER, self.list_runners),
            *self.runner_routes(guard),
            guard.route("/keys/{name}", "POST", roles.ADMINISTRATOR, self.create_key),
            guard.route("/keys/{name}/rotation", "POST", roles.ADMINISTRATOR, self.rotate_key),
        ]

    def kind_routes(self, guard: admin_http.Guard, kind: ResourceKind) -> list[routing.Route]:
        """Return the routes to list, read, set and delete resources of one kind."""
        collection = ResourceCollection(self.updater, kind.collection)
        base = f"/{kind.collection}"
        return [
            guard.route(base, "GET", kind.read_role, collection.list),
            guard.route(f"{base}/{{name}}", "GET", kind.read_role, collection.get),
            guard.route(f"{base}/{{name}}", "PUT", kind.write_role, collection.put),
            guard.route(f"{base}/{{name}}", "DELETE", kind.write_role, collection.delete),
        ]

    def runner_routes(self, guard: admin_http.Guard) -> list[routing.Route]:
        """Return the routes to read, set and delete a runner of a service."""
        path = "/services/{service}/runners/{name}"
        return [
            guard.route(path, "GET", roles.VIEWER, self.get_runner),
            guard.route(path, "PUT", roles.OPERATOR, self.put_runner),
            guard.route(path, "DELETE", roles.OPERATOR, self.delete_runner),
        ]

    async def list_runners(
        self, request: requests.Request, identity: keys.Identity
    ) -> responses.Response:
        """Return the runners of all services that the key may see, by service."""
        current = self.updater.configuration.current
        visible_services = roles.visible_configuration(identity, current).services
        document = {
            name: {runner.id: runner.model_dump(mode="json") for runner in service.runners}
            for name, service in visible_services.items()
        }
        return etag_response(document, current)

    async def get_runner(
        self, request: requests.Request, identity: keys.Identity
    ) -> responses.Response:
        """Return one runner."""
        current = self.updater.configuration.current
        service = find_service(
            roles.visible_configuration(identity, current), request.path_params["service"]
        )
        name = request.path_params["name"]
        for runner in service.runners:
            if runner.id == name:
                return etag_response(runner.model_dump(mode="json"), current)
        raise not_found_error("runners", name)

    async def put_runner(
        self, request: requests.Request, identity: keys.Identity
    ) -> responses.Response:
        """Add or replace one runner."""
        change = admin_http.parse_change(request, identity)
        name = request.path_params["name"]
        body = await admin_http.read_json(request)
        runner = admin_changes.parse_resource(models.Runner, f"runners.{name}", body, {"id": name})

        def edit(base: models.FleetConfiguration) -> models.FleetConfiguration:
            service = find_service(
                roles.visible_configuration(identity, base), request.path_params["service"]
            )
            runners = [other for other in service.runners if other.id != name]
            return with_runners(base, request.path_params["service"], [*runners, runner])

        return admin_http.change_response(await self.updater.commit(change, edit))

    async def delete_runner(
        self, request: requests.Request, identity: keys.Identity
    ) -> responses.Response:
        """Remove one runner."""
        change = admin_http.parse_change(request, identity)
        name = request.path_params["name"]

        def edit(base: models.FleetConfiguration) -> models.FleetConfiguration:
            service = find_service(
                roles.visible_configuration(identity, base), request.path_params["service"]
            )
            runners = [other for other in service.runners if other.id != name]
            if len(runners) == len(service.runners):
                raise not_found_error("runners", name)
            return with_runners(base, request.path_params["service"], runners)

        return admin_http.change_response(await self.updater.commit(change, edit))

    async def create_key(
        self, request: requests.Request, identity: keys.Identity
    ) -> responses.Response:
        """Create a key and return its token, of which only the digest is stored."""
        change = admin_http.parse_change(request, identity)
        name = request.path_params["name"]
        body = await admin_http.read_model(request, admin_parts.KeyRequest)
        if body.role == "caller" and body.customer is None:
            raise exceptions.SettingsInvalidError(
                f"keys.{name}.customer is missing; a key with role 'caller' needs a customer"
            )
        token = secrets.token_urlsafe(TOKEN_BYTES)
        key = models.Key(digest=keys.digest(token), **body.model_dump())

        def edit(base: models.FleetConfiguration) -> models.FleetConfiguration:
            if name in base.keys:
                raise exceptions.ConflictError(
                    f"key {name!r} already exists; choose another name or rotate it"
                )
            return with_resource(base, "keys", name, key.model_dump(mode="json"))

        return token_response(await self.updater.commit(change, edit), name, token)

    async def rotate_key(
        self, request: requests.Request, identity: keys.Identity
    ) -> responses.Response:
        """Create a key with the same rights; the old key stays valid for an overlap."""
        change = admin_http.parse_change(request, identity)
        name = request.path_params["name"]
        body = await admin_http.read_model(request, admin_parts.RotationRequest)
        token = secrets.token_urlsafe(TOKEN_BYTES)
        successor = rotated_key_name(name, change.expected_generation)

        def edit(base: models.FleetConfiguration) -> models.FleetConfiguration:
            old = roles.visible_configuration(identity, base).keys.get(name)
            if old is None:
                raise not_found_error("keys", name)
            if keys.is_expired(old):
                raise exceptions.ConflictError(f"key {name!r} has expired; create a new one")
            end = clock.wall_time() + body.overlap_seconds
            ending = old.model_copy(update={"not_after": min(old.not_after or end, end)})
            new = old.model_copy(update={"digest": keys.digest(token), "not_after": 0.0})
            base = with_resource(base, "keys", name, ending.model_dump(mode="json"))
            return with_resource(base, "keys", successor, new.model_dump(mode="json"))

        return token_response(await self.updater.commit(change, edit), successor, token)


@dataclasses.dataclass
class ResourceCollection:
    """Handlers of the routes for one kind of resource."""

    updater: admin_changes.ConfigurationUpdater
    name: str

    def visible_resources(
        self, identity: keys.Identity, base: models.FleetConfiguration
    ) -> dict[str, typing.Any]:
        """Return the resources of this kind that a key may see, by name."""
        return getattr(roles.visible_configuration(identity, base), self.name)

    async def list(self, request: requests.Request, identity: keys.Identity) -> responses.Response:
        """Return all resources that the key may see, by name."""
        current = self.updater.configuration.current
        resources = self.visible_resources(identity, current)
        return etag_response(
            {name: resource.model_dump(mode="json") for name, resource in resources.items()},
            current,
        )

    async def get(self, request: requests.Request, identity: keys.Identity) -> responses.Response:
        """Return one resource."""
        current = self.updater.configuration.current
        name = request.path_params["name"]
        resource = self.visible_resources(identity, current).get(name)
        if resource is None:
            raise not_found_error(self.name, name)
        return etag_response(resource.model_dump(mode="json"), current)

    async def put(self, request: requests.Request, identity: keys.Identity) -> responses.Response:
        """Add or replace one resource."""
        change = admin_http.parse_change(request, identity)
        name = request.path_params["name"]
        body = await admin_http.read_json(request)
        result = await self.updater.commit(
            change, lambda base: with_resource(base, self.name, name, body)
        )
        return admin_http.change_response(result)

    async def delete(
        self, request: requests.Request, identity: keys.Identity
    ) -> responses.Response:
        """Remove one resource."""
        change = admin_http.parse_change(request, identity)
        name = request.path_params["name"]

        def edit(base: models.FleetConfiguration) -> models.FleetConfiguration:
            if name not in self.visible_resources(identity, base):
                raise not_found_error(self.name, name)
            return without_resource(base, self.name, name)

        return admin_http.change_response(await self.updater.commit(change, edit))


def etag_response(document: typing.Any, current: models.FleetConfiguration) -> responses.Response:
    """Return a JSON response with the generation of the configuration as ETag."""
    response = views.json_response(document)
    response.headers["ETag"] = admin_http.etag(current.generation)
    return response


def token_response(result: admin_parts.ChangeResult, name: str, token: str) -> responses.Response:
    """Return the response to a new key; its token is empty if nothing was applied."""
    shown_token = token if result.applied else ""
    return admin_http.change_response(
        msgspec.structs.replace(result, name=name, token=shown_token), 201
    )


def rotated_key_name(name: str, generation: int) -> str:
    """Return the name of a rotated key, made unique by the generation that adds it."""
    match = ROTATED_NAME_PATTERN.match(name)
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
    """Return the configuration with the runners of a service replaced, sorted by id."""
    document = base.model_dump(mode="json")
    ordered = sorted(runners, key=lambda runner: runner.id)
    document["services"][service]["runners"] = [entry.model_dump(mode="json") for entry in ordered]
    return admin_changes.parse_document(document)


def find_service(configuration: models.FleetConfiguration, name: str) -> models.Service:
    """Return a service of a configuration; raises UnknownServiceError if it is absent."""
    service = configuration.services.get(name)
    if service is None:
        raise exceptions.UnknownServiceError(
            f"service {name!r} is not configured or not visible to this key; "
            f"use one of {', '.join(sorted(configuration.services))}"
        )
    return service


def not_found_error(collection: str, name: str) -> exceptions.NotFoundError:
    """Return the error for a resource that does not exist or is not visible."""
    return exceptions.NotFoundError(
        f"{collection}.{name} does not exist or is not visible to this key; "
        f"list them with GET /admin/v1/{collection}"
    )
