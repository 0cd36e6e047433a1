"""Configuration files of the command line: TOML or JSON, validated before they are sent."""

import json
import pathlib
import tomllib
import typing

import pydantic

from dogwoodgap import exceptions, models


def load(path: pathlib.Path) -> models.FleetConfiguration:
    """Read a fleet configuration; the suffix ``.json`` selects JSON.

    Raises
    ------
    SettingsInvalidError
        With the path, the value and the remedy of each fault.
    """
    try:
        text = path.read_text(encoding="utf-8")
        document = json.loads(text) if path.suffix == ".json" else tomllib.loads(text)
    except OSError as error:
        raise exceptions.SettingsInvalidError(
            f"{path}: cannot be read ({error.strerror}); name a readable file"
        ) from error
    except ValueError as error:
        raise exceptions.SettingsInvalidError(f"{path}: {error}; correct the file") from error
    try:
        return models.FleetConfiguration.model_validate(document)
    except pydantic.ValidationError as error:
        raise exceptions.SettingsInvalidError(
            f"{path}: correct {models.format_errors(error)}"
        ) from error


def complete(
    document: models.FleetConfiguration, current: models.FleetConfiguration
) -> dict[str, typing.Any]:
    """Return a document as JSON data; sections that the file leaves out keep their content."""
    missing = {
        name: getattr(current, name)
        for name in models.FleetConfiguration.model_fields
        if name not in document.model_fields_set
    }
    return document.model_copy(update=missing).model_dump(mode="json", exclude={"generation"})


def dump_toml(document: models.FleetConfiguration) -> str:
    """Return a configuration as TOML that :func:`load` reads."""
    import tomli_w

    return tomli_w.dumps(document.model_dump(mode="json", exclude_none=True))


def assignments(items: list[str]) -> dict[str, typing.Any]:
    """Return the fields given as ``field=value``; a value is JSON or else text.

    Raises
    ------
    SettingsInvalidError
        When an item has no ``=``.
    """
    fields: dict[str, typing.Any] = {}
    for item in items:
        name, separator, value = item.partition("=")
        if not separator or not name:
            raise exceptions.SettingsInvalidError(
                f"{item!r} is not an assignment; write field=value, for example max_turns=40"
            )
        try:
            fields[name] = json.loads(value)
        except ValueError:
            fields[name] = value
    return fields
