"""Validation of part of a document against a class of typed options."""

from __future__ import annotations

import dataclasses
import difflib
import functools
import typing
from collections.abc import Iterator
from typing import Any, TypeVar

from pydantic import BaseModel, ConfigDict, TypeAdapter, ValidationError

from fulmarlever.config.document import Document, KeyPath

Options = TypeVar("Options")

# Pydantic adds this to the location of an error in a mapping's key.
KEY_MARKER = "[key]"
# The lowest similarity ratio, from 0 to 1, at which a name is suggested.
MIN_SIMILARITY = 0.6

MESSAGES = {
    "missing": "this option is required",
    "model_type": "expected a mapping of options",
    "model_attributes_type": "expected a mapping of options",
    "dataclass_type": "expected a mapping of options",
    "dict_type": "expected a mapping",
    "tuple_type": "expected a list",
    "list_type": "expected a list",
    "string_type": "expected a text",
    "unexpected_keyword_argument": "",
    "extra_forbidden": "",
}


class OptionsModel(BaseModel):
    """Base class of entries whose attributes are typed options.

    Unknown options are errors, and instances are immutable.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)


def did_you_mean(name: str, known: typing.Iterable[str]) -> str:
    """Return a suggestion of the most similar known name, or an empty string.

    The result starts with a semicolon, to be appended to an error message.
    """
    found = difflib.get_close_matches(name, list(known), 1, MIN_SIMILARITY)
    return f"; did you mean {found[0]!r}?" if found else ""


@functools.cache
def type_adapter(options: type[Options]) -> TypeAdapter[Options]:
    """Return the validator of a class of options, built once per class."""
    return TypeAdapter(options)


def validate(
    options: type[Options], value: Any, document: Document, path: KeyPath
) -> Options | None:
    """Validate the value at a path and add a finding for each error.

    ``None`` is validated as an empty mapping. If there are errors, return the options
    without the invalid ones, so that later checks can run on the others, or ``None``
    if a required option is missing or invalid or the value is not a mapping.
    """
    value = {} if value is None else value
    try:
        return type_adapter(options).validate_python(value)
    except ValidationError as exc:
        errors = exc.errors(include_url=False, include_context=False)
    for error in errors:
        _add_finding(options, error, document, path)
    return _validate_remaining(options, value, {error["loc"][:1] for error in errors})


def _validate_remaining(
    options: type[Options], value: Any, invalid: set
) -> Options | None:
    if not isinstance(value, dict):
        return None
    remaining = {name: item for name, item in value.items() if (name,) not in invalid}
    try:
        return type_adapter(options).validate_python(remaining)
    except ValidationError:
        return None


def _add_finding(options: type, error: dict, document: Document, path: KeyPath) -> None:
    option_path = tuple(key for key in error["loc"] if key != KEY_MARKER)
    key_path = (*path, *option_path)
    if error["type"] in ("extra_forbidden", "unexpected_keyword_argument"):
        suggestion = did_you_mean(
            str(option_path[-1]), known_options(options, option_path[:-1])
        )
        document.add_at_key(key_path, f"unknown option {option_path[-1]!r}{suggestion}")
    elif error["type"] == "missing":
        document.add_at_key(key_path[:-1], f"option {option_path[-1]!r} is required")
    elif KEY_MARKER in error["loc"]:
        document.add_at_key(key_path, f"{option_path[-1]!r}: {describe_error(error)}")
    else:
        option_name = ".".join(str(key) for key in option_path)
        document.add(
            key_path,
            f"{option_name}: {describe_error(error)}"
            if option_name
            else describe_error(error),
        )


def describe_error(error: dict) -> str:
    """Return the message of a pydantic error, with the invalid value if it is short."""
    if error["type"] == "unit":
        return error["msg"]
    message = MESSAGES.get(error["type"])
    if message is None:
        message = error["msg"].removeprefix("Value error, ")
        message = message.replace("Input should be", "expected")
        message = message.replace("String should match pattern", "expected a text like")
    input_text = repr(error["input"])
    return f"{message}, not {input_text}" if len(input_text) < 60 else message


def known_options(options: Any, option_path: KeyPath) -> list[str]:
    """Return the names of the options at a path inside a class of options."""
    for key in option_path:
        options = _nested_options(options, key)
    return list(option_types(options))


def option_types(options: Any) -> dict[str, Any]:
    """Return the type of each option of a class, by name.

    ``options`` is a dataclass or pydantic model; the result is empty for other types.
    """
    if not isinstance(options, type):
        return {}
    hints = typing.get_type_hints(options, include_extras=True)
    if dataclasses.is_dataclass(options):
        names = [field.name for field in dataclasses.fields(options)]
    else:
        names = list(getattr(options, "model_fields", ()))
    return {name: hints[name] for name in names}


def _nested_options(options: Any, key: str | int) -> Any:
    types = option_types(options)
    if key in types:
        return next(iter(_option_classes(types[key])), types[key])
    return next(iter(_option_classes(options)), None)


def _option_classes(annotation: Any) -> Iterator[type]:
    if option_types(annotation):
        yield annotation
    for argument in typing.get_args(annotation):
        yield from _option_classes(argument)
