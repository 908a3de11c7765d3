"""YAML documents whose every value knows its line and column."""

from __future__ import annotations

import gc
import re
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import yaml

from fulmarlever.findings import Finding

MAX_DEPTH = 20
MAX_NODES = 200_000

Path = tuple[str | int, ...]
Place = tuple[int, int]

START: Place = (1, 1)
INT_TAG = "tag:yaml.org,2002:int"
FLOAT_TAG = "tag:yaml.org,2002:float"
BOOL_TAG = "tag:yaml.org,2002:bool"
NULL_TAG = "tag:yaml.org,2002:null"


class PlainLoader(getattr(yaml, "CSafeLoader", yaml.SafeLoader)):
    """A loader that leaves dates, ``yes``/``no`` and base-60 numbers as text."""

    yaml_implicit_resolvers = {}


def _add_resolvers() -> None:
    rows = (
        (INT_TAG, r"^[-+]?(?:0|[1-9][0-9]*)$", "-+0123456789"),
        (FLOAT_TAG, r"^[-+]?[0-9]+(?:\.[0-9]*)?(?:[eE][-+]?[0-9]+)?$", "-+0123456789"),
        (BOOL_TAG, r"^(?:true|false)$", "tf"),
        (NULL_TAG, r"^(?:~|null|)$", ["~", "n", ""]),
    )
    for tag, pattern, first in rows:
        PlainLoader.add_implicit_resolver(tag, re.compile(pattern), list(first))


_add_resolvers()

SCALARS = {
    INT_TAG: int,
    FLOAT_TAG: float,
    BOOL_TAG: lambda text: text == "true",
    NULL_TAG: lambda text: None,
}


@contextmanager
def paused_collection() -> Iterator[None]:
    """Keep the collector from running while many objects without cycles are made.

    Its passes over the growing tree take two fifths of the time of reading a file.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


class Document:
    """The value of a YAML file, the place of each path in it, and its findings."""

    __slots__ = ("file_name", "value", "findings", "_places", "_key_places", "_nodes")

    def __init__(self, file_name: str) -> None:
        self.file_name = file_name
        self.value: Any = None
        self.findings: list[Finding] = []
        self._places: dict[Path, Place] = {}
        self._key_places: dict[Path, Place] = {}
        self._nodes = 0

    @classmethod
    def from_text(cls, text: str, file_name: str) -> Document:
        """Read a text; syntax errors and duplicate keys become findings."""
        document = cls(file_name)
        with paused_collection():
            try:
                node = yaml.compose(text, Loader=PlainLoader)
            except (yaml.YAMLError, UnicodeError, RecursionError) as exc:
                document._add_syntax_error(exc)
                return document
            if node is not None:
                document.value = document._build(node, ())
        return document

    def add(self, path: Path, message: str, is_warning: bool = False) -> None:
        """Add a finding at the value of a path, or at its nearest parent."""
        self._add_at(self.place(path), message, is_warning)

    def add_at_key(self, path: Path, message: str, is_warning: bool = False) -> None:
        """Add a finding at the key that ends a path."""
        place = self._key_places.get(path) or self.place(path)
        self._add_at(place, message, is_warning)

    def place(self, path: Path) -> Place:
        """Return the line and column of a path or of its nearest known parent."""
        while path not in self._places and path:
            path = path[:-1]
        return self._places.get(path, START)

    def _add_at(self, place: Place, message: str, is_warning: bool = False) -> None:
        self.findings.append(Finding(self.file_name, *place, message, is_warning))

    def _add_syntax_error(self, exc: Exception) -> None:
        mark = getattr(exc, "problem_mark", None)
        place = (mark.line + 1, mark.column + 1) if mark else START
        problem = getattr(exc, "problem", None) or "not a YAML text"
        self._add_at(place, f"YAML syntax: {problem}")

    def _build(self, node: yaml.Node, path: Path) -> Any:
        self._nodes += 1
        place = (node.start_mark.line + 1, node.start_mark.column + 1)
        self._places[path] = place
        if len(path) > MAX_DEPTH or self._nodes > MAX_NODES:
            if self._nodes <= MAX_NODES + 1:
                self._add_at(place, "nested too deeply or too large")
            return None
        if isinstance(node, yaml.MappingNode):
            return dict(self._build_items(node, path))
        if isinstance(node, yaml.SequenceNode):
            items = enumerate(node.value)
            return [self._build(item, (*path, index)) for index, item in items]
        return SCALARS.get(node.tag, str)(node.value)

    def _build_items(
        self, node: yaml.MappingNode, path: Path
    ) -> Iterator[tuple[str, Any]]:
        first_lines: dict[str, int] = {}
        for key_node, value_node in node.value:
            place = (key_node.start_mark.line + 1, key_node.start_mark.column + 1)
            if not isinstance(key_node, yaml.ScalarNode):
                self._add_at(place, "expected a plain text as key")
                continue
            key = key_node.value
            if key in first_lines:
                line = first_lines[key]
                self._add_at(place, f"duplicate key {key!r}, first on line {line}")
                continue
            first_lines[key] = place[0]
            self._key_places[(*path, key)] = place
            yield key, self._build(value_node, (*path, key))
