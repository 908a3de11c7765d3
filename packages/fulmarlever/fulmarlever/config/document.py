"""YAML documents that record the line and column of every value."""

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

# The mapping keys and list indices that lead to a value.
KeyPath = tuple[str | int, ...]
# Line and column, both counted from 1.
Position = tuple[int, int]

FILE_START: Position = (1, 1)
INT_TAG = "tag:yaml.org,2002:int"
FLOAT_TAG = "tag:yaml.org,2002:float"
BOOL_TAG = "tag:yaml.org,2002:bool"
NULL_TAG = "tag:yaml.org,2002:null"


class PlainLoader(getattr(yaml, "CSafeLoader", yaml.SafeLoader)):
    """YAML loader that keeps dates, ``yes``/``no`` and base-60 numbers as strings.

    It resolves integers, floats, ``true``/``false`` and ``null``.
    """

    yaml_implicit_resolvers = {}


def _add_implicit_resolvers() -> None:
    resolvers = (
        (INT_TAG, r"^[-+]?(?:0|[1-9][0-9]*)$", "-+0123456789"),
        (FLOAT_TAG, r"^[-+]?[0-9]+(?:\.[0-9]*)?(?:[eE][-+]?[0-9]+)?$", "-+0123456789"),
        (BOOL_TAG, r"^(?:true|false)$", "tf"),
        (NULL_TAG, r"^(?:~|null|)$", ["~", "n", ""]),
    )
    for tag, pattern, first_characters in resolvers:
        PlainLoader.add_implicit_resolver(
            tag, re.compile(pattern), list(first_characters)
        )


_add_implicit_resolvers()

SCALAR_PARSERS = {
    INT_TAG: int,
    FLOAT_TAG: float,
    BOOL_TAG: lambda text: text == "true",
    NULL_TAG: lambda text: None,
}


@contextmanager
def paused_garbage_collection() -> Iterator[None]:
    """Disable cyclic garbage collection while a document is parsed.

    Parsing allocates many objects and no cycles. Scanning the growing tree for
    cycles takes two fifths of the time needed to read a file.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


class Document:
    """The parsed value of a YAML file, its source positions and its findings.

    ``value`` holds dicts, lists, strings, numbers, booleans and ``None``, and is
    ``None`` for an empty file or after a syntax error. ``findings`` lists the
    findings in the order in which they were added.
    """

    __slots__ = (
        "file_name",
        "value",
        "findings",
        "_positions",
        "_key_positions",
        "_node_count",
    )

    def __init__(self, file_name: str) -> None:
        self.file_name = file_name
        self.value: Any = None
        self.findings: list[Finding] = []
        self._positions: dict[KeyPath, Position] = {}
        self._key_positions: dict[KeyPath, Position] = {}
        self._node_count = 0

    @classmethod
    def from_text(cls, text: str, file_name: str) -> Document:
        """Parse YAML text.

        Syntax errors, duplicate keys, keys that are not scalars, and documents of
        more than ``MAX_DEPTH`` levels or ``MAX_NODES`` nodes are added as findings.
        ``file_name`` is only used to label the findings.
        """
        document = cls(file_name)
        with paused_garbage_collection():
            try:
                node = yaml.compose(text, Loader=PlainLoader)
            except (yaml.YAMLError, UnicodeError, RecursionError) as exc:
                document._add_syntax_error(exc, text)
                return document
            if node is not None:
                document.value = document._build(node, ())
        return document

    def add(self, path: KeyPath, message: str, is_warning: bool = False) -> None:
        """Add a finding at the value of a path, or at its nearest known parent."""
        self._add_at(self.position(path), message, is_warning)

    def add_at_key(self, path: KeyPath, message: str, is_warning: bool = False) -> None:
        """Add a finding at the last key of a path, or where :meth:`add` would."""
        position = self._key_positions.get(path) or self.position(path)
        self._add_at(position, message, is_warning)

    def position(self, path: KeyPath) -> Position:
        """Return the position of a path or of its nearest known parent."""
        while path not in self._positions and path:
            path = path[:-1]
        return self._positions.get(path, FILE_START)

    def _add_at(
        self, position: Position, message: str, is_warning: bool = False
    ) -> None:
        self.findings.append(Finding(self.file_name, *position, message, is_warning))

    def _add_syntax_error(self, exc: Exception, text: str) -> None:
        mark = getattr(exc, "problem_mark", None)
        position = (mark.line + 1, mark.column + 1) if mark else FILE_START
        # Without a final newline, the parser reports the end as a line of its own.
        position = min(position, _end_position(text))
        problem = getattr(exc, "problem", None) or "not a YAML text"
        self._add_at(position, f"YAML syntax: {problem}")

    def _build(self, node: yaml.Node, path: KeyPath) -> Any:
        self._node_count += 1
        position = (node.start_mark.line + 1, node.start_mark.column + 1)
        self._positions[path] = position
        if len(path) > MAX_DEPTH or self._node_count > MAX_NODES:
            if self._node_count <= MAX_NODES + 1:
                self._add_at(position, "nested too deeply or too large")
            return None
        if isinstance(node, yaml.MappingNode):
            return dict(self._build_items(node, path))
        if isinstance(node, yaml.SequenceNode):
            items = enumerate(node.value)
            return [self._build(item, (*path, index)) for index, item in items]
        return SCALAR_PARSERS.get(node.tag, str)(node.value)

    def _build_items(
        self, node: yaml.MappingNode, path: KeyPath
    ) -> Iterator[tuple[str, Any]]:
        first_lines: dict[str, int] = {}
        for key_node, value_node in node.value:
            position = (key_node.start_mark.line + 1, key_node.start_mark.column + 1)
            if not isinstance(key_node, yaml.ScalarNode):
                self._add_at(position, "expected a plain text as key")
                continue
            key = key_node.value
            if key in first_lines:
                line = first_lines[key]
                self._add_at(position, f"duplicate key {key!r}, first on line {line}")
                continue
            first_lines[key] = position[0]
            self._key_positions[(*path, key)] = position
            yield key, self._build(value_node, (*path, key))


def _end_position(text: str) -> Position:
    """Return the position behind the last character of a text."""
    lines = text.split("\n")
    return (len(lines), len(lines[-1]) + 1)
