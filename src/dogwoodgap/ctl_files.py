"""Reads and writes configuration files, TOML or JSON."""

import json
import pathlib
import tomllib
import typing

import pydantic

from dogwoodgap import exceptions, models, validation


def load_configuration(path: pathlib.Path) -> models.FleetConfiguration:
    """Read and validate a fleet configuration; the suffix ``.json`` selects JSON, others TOML.

    Raises
    ------
    SettingsInvalidError
        When the file cannot be read or is invalid; names the path and the value of each error.
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
            f"{path}: correct {validation.format_errors(error)}"
        ) from error


def fill_missing_sections(
    document: models.FleetConfiguration, current: models.FleetConfiguration
) -> dict[str, typing.Any]:
    """Return a document as JSON data; missing sections are copied from the current one."""
    missing = {
        name: getattr(current, name)
        for name in models.FleetConfiguration.model_fields
        if name not in document.model_fields_set
    }
    return document.model_copy(update=missing).model_dump(mode="json", exclude={"generation"})


def dump_toml(document: models.FleetConfiguration) -> str:
    """Return a configuration as TOML that :func:`load_configuration` reads."""
    import tomli_w

    return tomli_w.dumps(document.model_dump(mode="json", exclude_none=True))


def parse_assignments(items: list[str]) -> dict[str, typing.Any]:
    """Parse ``field=value`` items; a value that is not valid JSON is taken as text.

    Raises
    ------
    SettingsInvalidError
        When an item has no ``=`` or no field name.
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
