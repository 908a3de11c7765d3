from __future__ import annotations

import re
from pathlib import Path

import yaml
from prometheus_client import REGISTRY
from pydantic import TypeAdapter
from pydantic_core import PydanticUndefined

from fulmarlever.config import schema
from fulmarlever.config.document import PlainLoader
from fulmarlever.config.reader import SECTIONS
from fulmarlever.config.validation import option_types
from fulmarlever.tests.base import TableTestCase
from fulmarleverd.api.routes import load_routes
from fulmarleverd.services import load_services
from fulmarleverd.settings import Settings

GUIDE = Path(__file__).parents[4] / "docs" / "user-guide"
METRIC_ROW = re.compile(r"^\| `(fulmarlever_\w+)` \| ([^|]*)\|", re.MULTILINE)
ROW = re.compile(r"^\| `(\w+)` \| (required|none|`([^`]*)`) \|", re.MULTILINE)

# Page, heading before the tables, options class.
TABLES = [
    ("settings.md", None, Settings),
    ("configuration.md", "## Sizes", schema.SizeOptions),
    ("configuration.md", "## Worker groups", schema.WorkerGroupOptions),
    ("configuration.md", "## Teams", schema.TeamOptions),
    ("configuration.md", "## Services", schema.ServiceOptions),
    ("configuration.md", "The first matching rule", schema.RequestOptions),
    ("configuration.md", "## Jobs", schema.JobOptions),
]


def read_rows(page: str, start: str | None) -> dict[str, tuple[str, str]]:
    """Return the default cell of each option in the tables of a page's section."""
    text = (GUIDE / page).read_text()
    if start:
        text = re.split(
            r"^## |^The first matching", text.split(start, 1)[1], flags=re.M
        )[0]
    return {name: (cell, value) for name, cell, value in ROW.findall(text)}


def default_of(options: type, name: str) -> object:
    if hasattr(options, "model_fields"):
        return options.model_fields[name].get_default(call_default_factory=True)
    field = options.__dataclass_fields__[name]
    if callable(field.default_factory):
        return field.default_factory()
    return field.default


def is_required(value: object) -> bool:
    return value is PydanticUndefined or type(value).__name__ == "_MISSING_TYPE"


class ReferenceTests(TableTestCase):
    def test_every_option_is_documented_with_its_default(self):
        for row in self.each(TABLES):
            page, start, options = row
            rows = read_rows(page, start)
            types = option_types(options)
            self.assertEqual(sorted(rows), sorted(types), f"{page} {start}")
            for name, (cell, text) in rows.items():
                default = default_of(options, name)
                if cell == "required":
                    self.assertTrue(is_required(default), name)
                elif cell == "none":
                    self.assertFalse(default, name)
                else:
                    value = yaml.load(text, Loader=PlainLoader)
                    parsed = TypeAdapter(types[name]).validate_python(value)
                    self.assertEqual(parsed, default, name)

    def test_every_section_is_documented(self):
        text = (GUIDE / "configuration.md").read_text()
        for section in ("zones", *SECTIONS):
            self.assertIn(f"| `{section}` |", text)

    def test_every_metric_is_documented_with_its_labels(self):
        load_services()
        load_routes()
        listed = dict(METRIC_ROW.findall((GUIDE / "metrics.md").read_text()))
        for collector, names in list(REGISTRY._collector_to_names.items()):
            ours = {name for name in names if name.startswith("fulmarlever_")}
            if not ours:
                continue
            found = sorted(ours & set(listed))
            self.assertEqual(len(found), 1, f"{sorted(ours)} is not in metrics.md")
            labels = re.findall(r"`(\w+)`", listed[found[0]])
            self.assertEqual(labels, list(collector._labelnames), found[0])
