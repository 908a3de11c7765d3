"""Edits of single options in the text of a configuration file."""

from __future__ import annotations

import yaml

from fulmarlever.config.document import KeyPath, PlainLoader
from fulmarlever.outcomes import Refused


def set_option(text: str, path: KeyPath, value: str) -> str | Refused:
    """Set one scalar option in YAML text and keep all other text as it is.

    ``text`` is valid YAML, ``path`` leads to the option, and ``value`` is inserted as
    YAML text. The option may be missing, but the mapping that holds it must exist and
    have at least one option. Return ``Refused`` if it does not, or if the option is
    not a scalar.
    """
    mapping = yaml.compose(text, Loader=PlainLoader)
    for key in path[:-1]:
        mapping = _find(mapping, key)
    if not isinstance(mapping, yaml.MappingNode) or not mapping.value:
        return Refused(f"the file has no entry {'.'.join(map(str, path[:-1]))}")
    node = _find(mapping, path[-1])
    if node is None:
        return _insert_option(text, mapping, f"{path[-1]}: {value}")
    if not isinstance(node, yaml.ScalarNode):
        return Refused(f"option {path[-1]} is not a plain value")
    return text[: node.start_mark.index] + value + text[node.end_mark.index :]


def _find(node: yaml.Node | None, key: str | int) -> yaml.Node | None:
    if not isinstance(node, yaml.MappingNode):
        return None
    for key_node, value_node in node.value:
        if key_node.value == key:
            return value_node
    return None


def _insert_option(text: str, mapping: yaml.MappingNode, option: str) -> str:
    start = mapping.value[0][0].start_mark
    separator = ", " if mapping.flow_style else "\n" + " " * start.column
    return text[: start.index] + option + separator + text[start.index :]
