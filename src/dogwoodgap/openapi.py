"""OpenAPI description of the callers' interface, generated from its route table and models."""

import dataclasses
import functools
import inspect
import re
import typing

import msgspec
import pydantic

from dogwoodgap import __version__, exceptions

REFERENCE = "#/components/schemas/{}"


@dataclasses.dataclass(frozen=True)
class Operation:
    """One row of the route table.

    Attributes
    ----------
    handler : str
        Name of the handling method, whose first docstring line describes the operation.
    headers, query : tuple of str
        Optional headers and query parameters.
    """

    method: str
    path: str
    handler: str
    body: type[pydantic.BaseModel] | None
    reply: type[msgspec.Struct] | None
    status: int = 200
    headers: tuple[str, ...] = ()
    query: tuple[str, ...] = ()


class Parameter(msgspec.Struct, omit_defaults=True, rename={"place": "in"}):
    """An OpenAPI parameter object."""

    name: str
    place: str
    required: bool = False
    schema: dict[str, str] = msgspec.field(default_factory=lambda: {"type": "string"})


class Info(msgspec.Struct):
    """An OpenAPI info object."""

    title: str
    version: str


class Document(msgspec.Struct):
    """An OpenAPI document."""

    openapi: str
    info: Info
    paths: dict[str, dict[str, typing.Any]]
    components: dict[str, typing.Any]


def document(operations: list[Operation]) -> Document:
    """Return the OpenAPI document of a route table."""
    paths: dict[str, dict[str, typing.Any]] = {}
    for operation in operations:
        path = operation.path.replace(":path}", "}")
        paths.setdefault(path, {})[operation.method.lower()] = describe(operation)
    bearer = {"bearer": {"type": "http", "scheme": "bearer"}}
    components = {"schemas": schemas(operations), "securitySchemes": bearer}
    return Document("3.1.0", Info("dogwoodgap", __version__), paths, components)


def describe(operation: Operation) -> dict[str, typing.Any]:
    """Return the OpenAPI operation object of one row of the route table."""
    described: dict[str, typing.Any] = {
        "operationId": operation.handler,
        "summary": summary_of(operation.handler),
        "parameters": msgspec.to_builtins(parameters(operation)),
        "responses": {
            str(operation.status): content(operation.reply, "application/json", "The result."),
            "default": content(exceptions.Problem, "application/problem+json", "An error."),
        },
    }
    if operation.body is not None:
        described["requestBody"] = {
            "required": True,
            **content(operation.body, "application/json", "The request."),
        }
    if operation.path.startswith("/v1/"):
        described["security"] = [{"bearer": []}]
    return described


def parameters(operation: Operation) -> list[Parameter]:
    """Return the parameters of the path, the query and the headers."""
    result = [
        Parameter(name, "path", required=True)
        for name in re.findall(r"\{(\w+)(?::path)?\}", operation.path)
    ]
    result += [Parameter(name, "query") for name in operation.query]
    result += [Parameter(name, "header") for name in operation.headers]
    return result


def content(model: type | None, media_type: str, description: str) -> dict[str, typing.Any]:
    """Return a body or response object that refers to a schema."""
    described: dict[str, typing.Any] = {"description": description}
    if model is not None:
        reference = {"$ref": REFERENCE.format(model.__name__)}
        described["content"] = {media_type: {"schema": reference}}
    return described


def schemas(operations: list[Operation]) -> dict[str, typing.Any]:
    """Return the schemas of all bodies and replies."""
    result: dict[str, typing.Any] = {}
    for operation in operations:
        if operation.body is not None:
            schema = operation.body.model_json_schema(ref_template=REFERENCE.format("{model}"))
            result.update(schema.pop("$defs", {}))
            result[operation.body.__name__] = schema
    replies = [operation.reply for operation in operations if operation.reply is not None]
    _, described = msgspec.json.schema_components(
        [*replies, exceptions.Problem], ref_template=REFERENCE.format("{name}")
    )
    return result | described


@functools.cache
def summary_of(handler: str) -> str:
    """Return the first docstring line of a handler, which is the summary of the operation."""
    from dogwoodgap import app, completions

    owner = completions.Completions if handler == "chat" else app.App
    return (inspect.getdoc(getattr(owner, handler)) or "").partition("\n")[0]
