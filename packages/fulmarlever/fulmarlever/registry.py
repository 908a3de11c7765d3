"""Registries of classes and functions, which decorators add by name."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from fulmarlever.exceptions import KernelError

Item = TypeVar("Item")


class Registry(Generic[Item]):
    """A mapping from names to the classes or functions registered under them.

    ``kind`` says in error messages what the items are. Iteration yields the names in
    sorted order.
    """

    __slots__ = ("kind", "_items")

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._items: dict[str, Item] = {}

    def register(self, name: str) -> Callable[[Item], Item]:
        """Return a decorator that registers its target under a name.

        The decorator raises ``KernelError`` when the name is taken.
        """

        def store(item: Item) -> Item:
            if name in self._items:
                raise KernelError(f"{self.kind} {name!r} is registered twice")
            self._items[name] = item
            return item

        return store

    def find(self, name: str) -> Item:
        """Return the item registered under a name.

        Raise ``KernelError``, with the known names, when there is none.
        """
        if name not in self._items:
            known = ", ".join(sorted(self._items))
            raise KernelError(f"no {self.kind} {name!r}; known: {known}")
        return self._items[name]

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self._items))
