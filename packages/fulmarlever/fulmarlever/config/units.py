"""Values with a unit: durations, sizes in bytes, and fractions."""

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

MIB = 1 << 20

QUANTITY = re.compile(r"^\s*(\d+(?:\.\d+)?)\s*([A-Za-z%]*)\s*$")


def option_error(message: str) -> PydanticCustomError:
    """Return the error that a typed option raises for a wrong value."""
    return PydanticCustomError("unit", "{message}", {"message": message})


def split_quantity(value: Any, wanted: str) -> tuple[float, str]:
    """Return the number and the unit of a value.

    Raise a validation error naming what was wanted when it is neither a number nor
    a number with a unit.
    """
    if isinstance(value, int | float) and not isinstance(value, bool):
        return float(value), ""
    found = QUANTITY.match(value) if isinstance(value, str) else None
    if found is None:
        raise option_error(f"expected {wanted}, not {value!r}")
    return float(found.group(1)), found.group(2)


def convert(value: Any, units: dict[str, float], wanted: str) -> float:
    """Return a value in the base unit of a table of units.

    Raise a validation error for a missing, unknown or wrong unit.
    """
    number, unit = split_quantity(value, wanted)
    if unit in units:
        return number * units[unit]
    if not unit:
        raise option_error(f"expected {wanted}, but {value!r} has no unit")
    known = ", ".join(units)
    raise option_error(f"expected {wanted}; {unit!r} is none of the units {known}")


def parse_duration(value: Any) -> float:
    """Return the seconds of a value such as ``250ms``, ``30s`` or ``12h``."""
    return convert(value, DURATION_UNITS_S, "a duration such as 250ms, 30s or 12h")


def parse_seconds(value: Any) -> float:
    """Return the seconds of a duration; a plain number is taken as seconds."""
    if isinstance(value, int | float) and not isinstance(value, bool):
        return float(value)
    return parse_duration(value)


def parse_bytes(value: Any) -> int:
    """Return the bytes of a value such as ``512KiB`` or ``4GiB``."""
    return round(convert(value, BYTE_UNITS, "a size such as 512KiB or 4GiB"))


def parse_byte_count(value: Any) -> int:
    """Return the bytes of a size; a plain whole number is taken as bytes."""
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    return parse_bytes(value)


def parse_memory_mib(value: Any) -> float:
    """Return the MiB of a value such as ``4GiB``."""
    return parse_bytes(value) / MIB


def parse_fraction(value: Any) -> float:
    """Return a fraction from a number such as ``0.1`` or a value such as ``10%``."""
    wanted = "a fraction such as 0.1 or 10%"
    number, unit = split_quantity(value, wanted)
    if unit not in ("", "%"):
        raise option_error(f"expected {wanted}; {unit!r} is not a unit of fractions")
    return number / 100 if unit else number


Duration = Annotated[float, BeforeValidator(parse_duration), Field(gt=0)]
Seconds = Annotated[float, BeforeValidator(parse_seconds), Field(ge=0)]
PositiveSeconds = Annotated[float, BeforeValidator(parse_seconds), Field(gt=0)]
Bytes = Annotated[int, BeforeValidator(parse_bytes), Field(gt=0)]
ByteCount = Annotated[int, BeforeValidator(parse_byte_count), Field(gt=0)]
MemoryMib = Annotated[float, BeforeValidator(parse_memory_mib), Field(ge=0)]
Fraction = Annotated[float, BeforeValidator(parse_fraction), Field(ge=0, le=1)]
