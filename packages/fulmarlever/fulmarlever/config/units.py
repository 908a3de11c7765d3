"""Parsing of values with a unit: durations, byte sizes and fractions."""

from __future__ import annotations

import re
from typing import Annotated, Any

from pydantic import BeforeValidator, Field
from pydantic_core import PydanticCustomError

DURATION_UNITS_S = {
    "us": 1e-6,
    "ms": 1e-3,
    "s": 1.0,
    "min": 60.0,
    "m": 60.0,
    "h": 3600.0,
    "d": 86400.0,
}

BYTE_UNITS = {
    "B": 1,
    "kB": 10**3,
    "MB": 10**6,
    "GB": 10**9,
    "TB": 10**12,
    "KiB": 1 << 10,
    "MiB": 1 << 20,
    "GiB": 1 << 30,
    "TiB": 1 << 40,
}

MIB_BYTES = 1 << 20

QUANTITY_PATTERN = re.compile(r"^\s*(\d+(?:\.\d+)?)\s*([A-Za-z%]*)\s*$")


def option_error(message: str) -> PydanticCustomError:
    """Return the validation error for an invalid option value."""
    return PydanticCustomError("unit", "{message}", {"message": message})


def split_quantity(value: Any, expected: str) -> tuple[float, str]:
    """Return the number and the unit of a value; the unit may be empty.

    ``expected`` describes valid values in error messages. Raise a validation error
    for a value that is neither a number nor a string of a number and a unit.
    """
    if isinstance(value, int | float) and not isinstance(value, bool):
        return float(value), ""
    found = QUANTITY_PATTERN.match(value) if isinstance(value, str) else None
    if found is None:
        raise option_error(f"expected {expected}, not {value!r}")
    return float(found.group(1)), found.group(2)


def convert_to_base_unit(value: Any, units: dict[str, float], expected: str) -> float:
    """Return a value in the base unit of ``units``, a table of unit factors.

    ``expected`` describes valid values in error messages. Raise a validation error
    for a missing or unknown unit and for a value that is not a quantity.
    """
    number, unit = split_quantity(value, expected)
    if unit in units:
        return number * units[unit]
    if not unit:
        raise option_error(f"expected {expected}, but {value!r} has no unit")
    known = ", ".join(units)
    raise option_error(f"expected {expected}; {unit!r} is none of the units {known}")


def parse_duration(value: Any) -> float:
    """Return the seconds of a value such as ``250ms``, ``30s`` or ``12h``.

    Raise a validation error, which is a ``ValueError``, for any other value.
    """
    return convert_to_base_unit(
        value, DURATION_UNITS_S, "a duration such as 250ms, 30s or 12h"
    )


def parse_seconds(value: Any) -> float:
    """Return the seconds of a duration; a number without a unit means seconds.

    Raise a validation error for any other value.
    """
    if isinstance(value, int | float) and not isinstance(value, bool):
        return float(value)
    return parse_duration(value)


def parse_bytes(value: Any) -> int:
    """Return the bytes of a value such as ``512KiB`` or ``4GiB``, rounded.

    Raise a validation error for any other value.
    """
    return round(
        convert_to_base_unit(value, BYTE_UNITS, "a size such as 512KiB or 4GiB")
    )


def parse_byte_count(value: Any) -> int:
    """Return the bytes of a size; an integer without a unit means bytes.

    Raise a validation error for any other value.
    """
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    return parse_bytes(value)


def parse_memory_mib(value: Any) -> float:
    """Return the MiB of a value such as ``4GiB``.

    Raise a validation error for any other value.
    """
    return parse_bytes(value) / MIB_BYTES


def parse_fraction(value: Any) -> float:
    """Return the fraction of a number such as ``0.1`` or a value such as ``10%``.

    The result is not limited to 1. Raise a validation error for any other value.
    """
    expected = "a fraction such as 0.1 or 10%"
    number, unit = split_quantity(value, expected)
    if unit not in ("", "%"):
        raise option_error(f"expected {expected}; {unit!r} is not a unit of fractions")
    return number / 100 if unit else number


Duration = Annotated[float, BeforeValidator(parse_duration), Field(gt=0)]
Seconds = Annotated[float, BeforeValidator(parse_seconds), Field(ge=0)]
PositiveSeconds = Annotated[float, BeforeValidator(parse_seconds), Field(gt=0)]
Bytes = Annotated[int, BeforeValidator(parse_bytes), Field(gt=0)]
ByteCount = Annotated[int, BeforeValidator(parse_byte_count), Field(gt=0)]
MemoryMib = Annotated[float, BeforeValidator(parse_memory_mib), Field(ge=0)]
Fraction = Annotated[float, BeforeValidator(parse_fraction), Field(ge=0, le=1)]
