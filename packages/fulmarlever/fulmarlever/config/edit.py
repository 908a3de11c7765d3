"""Changes of single options in the text of a configuration file."""

from __future__ import annotations

import yaml

from fulmarlever.config.document import KeyPath, PlainLoader
from fulmarlever.outcomes import Refused


def set_option(text: str, path: KeyPath, value: str) -> str | Refused:
    """Return a text with one scalar option set, and all else as it was.

    ``path`` names the option; the entry that holds it must be a mapping that exists
    with at least one option.
    """
    entry = yaml.compose(text, Loader=PlainLoader)
    for part in path[:-1]:
        entry = _find(entry, part)
    if not isinstance(entry, yaml.MappingNode) or not entry.value:
        return Refused(f"the file has no entry {'.'.join(map(str, path[:-1]))}")
    node = _find(entry, path[-1])
    if node is None:
        return _insert(text, entry, f"{path[-1]}: {value}")
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


def _insert(text: str, entry: yaml.MappingNode, option: str) -> str:
    first = entry.value[0][0].start_mark
    separator = ", " if entry.flow_style else "\n" + " " * first.column
    return text[: first.index] + option + separator + text[first.index :]
