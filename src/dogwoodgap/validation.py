"""Base of validated models of external documents, and their error messages.

A gateway needs only this part, and building all of :mod:`dogwoodgap.models` would slow its start.
"""

import collections.abc
import typing

import pydantic

from dogwoodgap import exceptions

Name = typing.Annotated[str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.:-]{0,127}$")]


class StrictModel(pydantic.BaseModel):
    """Base of models for external documents; rejects unknown fields."""

    model_config = pydantic.ConfigDict(extra="forbid")


ModelT = typing.TypeVar("ModelT", bound=pydantic.BaseModel)


def format_errors(
    error: pydantic.ValidationError, secret: collections.abc.Container[str] = ()
) -> str:
    """Return the path, reason and value of each validation error in one line.

    Parameters
    ----------
    secret : container of str
        Sections of the document whose values are not shown.
    """
    lines = []
    for details in error.errors():
        path = ".".join(str(part) for part in details["loc"]) or "(document)"
        is_secret = bool(details["loc"]) and details["loc"][0] in secret
        value = "" if is_secret else f" (got {str(details['input'])[:60]!r})"
        lines.append(f"{path}: {details['msg']}{value}")
    return "; ".join(lines)


def parse_json(model: type[ModelT], body: bytes) -> ModelT:
    """Parse and validate a JSON request body.

    Raises
    ------
    InvalidRequestError
        If the body is invalid; the detail has the path, reason and value of each error.
    """
    try:
        return model.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise exceptions.InvalidRequestError(f"correct the body: {format_errors(error)}") from error
