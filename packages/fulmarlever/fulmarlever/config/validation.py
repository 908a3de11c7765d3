"""Validation of a part of a document by a class of typed options."""

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

KEY_MARK = "[key]"
CLOSE_ENOUGH = 0.6

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
    """A class whose attributes are typed options, each validating itself."""

    model_config = ConfigDict(extra="forbid", frozen=True)


def nearest(word: str, known: typing.Iterable[str]) -> str:
    """Return a hint that names the nearest known word, or an empty text."""
    found = difflib.get_close_matches(word, list(known), 1, CLOSE_ENOUGH)
    return f"; did you mean {found[0]!r}?" if found else ""


@functools.cache
def adapter(options: type[Options]) -> TypeAdapter[Options]:
    """Return the validator of a class of options."""
    return TypeAdapter(options)


def validate(
    options: type[Options], value: Any, document: Document, path: KeyPath
) -> Options | None:
    """Return the options at a path and add a finding for each mistake.

    With findings, the options are those without the wrong ones, so that later checks
    see the rest, or ``None`` when a required option is wrong.
    """
    value = {} if value is None else value
    try:
        return adapter(options).validate_python(value)
    except ValidationError as exc:
        errors = exc.errors(include_url=False, include_context=False)
    for error in errors:
        _report(options, error, document, path)
    return _validate_rest(options, value, {error["loc"][:1] for error in errors})


def _validate_rest(options: type[Options], value: Any, wrong: set) -> Options | None:
    if not isinstance(value, dict):
        return None
    rest = {name: item for name, item in value.items() if (name,) not in wrong}
    try:
        return adapter(options).validate_python(rest)
    except ValidationError:
        return None


def _report(options: type, error: dict, document: Document, path: KeyPath) -> None:
    location = tuple(part for part in error["loc"] if part != KEY_MARK)
    place = (*path, *location)
    if error["type"] in ("extra_forbidden", "unexpected_keyword_argument"):
        hint = nearest(str(location[-1]), known_options(options, location[:-1]))
        document.add_at_key(place, f"unknown option {location[-1]!r}{hint}")
    elif error["type"] == "missing":
        document.add_at_key(place[:-1], f"option {location[-1]!r} is required")
    elif KEY_MARK in error["loc"]:
        document.add_at_key(place, f"{location[-1]!r}: {describe(error)}")
    else:
        label = ".".join(str(part) for part in location)
        document.add(place, f"{label}: {describe(error)}" if label else describe(error))


def describe(error: dict) -> str:
    """Return the message of one validation error with the value that caused it."""
    if error["type"] == "unit":
        return error["msg"]
    message = MESSAGES.get(error["type"])
    if message is None:
        message = error["msg"].removeprefix("Value error, ")
        message = message.replace("Input should be", "expected")
        message = message.replace("String should match pattern", "expected a text like")
    shown = repr(error["input"])
    return f"{message}, not {shown}" if len(shown) < 60 else message


def known_options(options: Any, location: KeyPath) -> list[str]:
    """Return the names of the options at a location inside a class of options."""
    for part in location:
        options = _step(options, part)
    return list(option_types(options))


def option_types(options: Any) -> dict[str, Any]:
    """Return the type of each option of a class, by name."""
    if not isinstance(options, type):
        return {}
    hints = typing.get_type_hints(options, include_extras=True)
    if dataclasses.is_dataclass(options):
        names = [field.name for field in dataclasses.fields(options)]
    else:
        names = list(getattr(options, "model_fields", ()))
    return {name: hints[name] for name in names}


def _step(options: Any, part: str | int) -> Any:
    types = option_types(options)
    if part in types:
        return next(iter(_option_classes(types[part])), types[part])
    return next(iter(_option_classes(options)), None)


def _option_classes(annotation: Any) -> Iterator[type]:
    if option_types(annotation):
        yield annotation
    for inner in typing.get_args(annotation):
        yield from _option_classes(inner)
