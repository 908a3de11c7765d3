"""Typed messages between daemons, and their encoding for msgpack.

A message is a slotted dataclass with the decorator ``@message("name")``. Its wire form
is the list of its field values in order, so fields hold only types that msgpack can
encode. A class with other fields defines ``to_wire`` and ``from_wire`` itself.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import fields
from typing import Any, TypeVar

from fulmarlever.exceptions import KernelError
from fulmarlever.registry import Registry

MESSAGES: Registry[type] = Registry("message")

Message = TypeVar("Message", bound=type)


def message(name: str) -> Callable[[Message], Message]:
    """Return a decorator that registers a dataclass as the message ``name``."""

    def register(cls: Message) -> Message:
        cls.wire_name = name
        return MESSAGES.register(name)(cls)

    return register


def encode(value: Any) -> tuple[str, Any]:
    """Return the registered name and the wire form of a message.

    Raise ``KernelError`` for a value whose class is not registered.
    """
    name = getattr(type(value), "wire_name", None)
    if name is None:
        raise KernelError(f"{type(value).__name__} is not a registered message")
    if hasattr(value, "to_wire"):
        return name, value.to_wire()
    return name, [getattr(value, field.name) for field in fields(value)]


def decode(name: str, data: Any) -> Any:
    """Build a message from its registered name and wire form.

    Raise ``KernelError`` for an unknown name, and ``TypeError``, ``ValueError``,
    ``KeyError`` or ``AttributeError`` for data that does not fit the message.
    """
    cls = MESSAGES.find(name)
    if hasattr(cls, "from_wire"):
        return cls.from_wire(data)
    return cls(*data)
