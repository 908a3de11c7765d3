from __future__ import annotations

import yaml
from hypothesis import given
from hypothesis import strategies as st

from fulmarlever.config.edit import set_option
from fulmarlever.outcomes import Refused
from fulmarlever.tests.base import TableTestCase

TEXT = """\
# Größe: kept
services:
  filling:  # comment
    team: a
    new_share: 100%   # moved in steps
  flow: {team: a, target: 1s}
  empty: {}
  list: [a]
"""

CASES = [
    ("replaced", ("services", "filling", "new_share"), "    new_share: 0.3   # moved"),
    ("inserted", ("services", "filling", "target"), "    target: 0.3\n    team: a"),
    (
        "replaced in flow style",
        ("services", "flow", "target"),
        "flow: {team: a, target: 0.3}",
    ),
    (
        "inserted in flow style",
        ("services", "flow", "slots"),
        "flow: {slots: 0.3, team: a",
    ),
]

REFUSED = [
    ("missing entry", ("services", "none", "x"), "no entry services.none"),
    ("empty entry", ("services", "empty", "x"), "no entry services.empty"),
    ("list", ("services", "list", "x"), "no entry services.list"),
    ("mapping as value", ("services", "flow"), "not a plain value"),
]


class EditTests(TableTestCase):
    def test_set_option(self):
        for _, path, expected in self.each(CASES):
            text = set_option(TEXT, path, "0.3")
            self.assertIn(expected, text)
            self.assertIn("# Größe: kept", text)

    def test_refuses_paths_that_are_no_scalar_options(self):
        for _, path, message in self.each(REFUSED):
            result = set_option(TEXT, path, "1")
            self.assertIsInstance(result, Refused)
            self.assertIn(message, result.reason)

    @given(
        st.dictionaries(
            st.text("abcü", min_size=1, max_size=3),
            st.dictionaries(
                st.text("xyzö", min_size=1, max_size=3), st.integers(), min_size=1
            ),
            min_size=1,
        ),
        st.booleans(),
        st.data(),
    )
    def test_set_option_changes_only_that_option(self, value, is_flow, data):
        text = yaml.dump(value, default_flow_style=is_flow, allow_unicode=True)
        section = data.draw(st.sampled_from(sorted(value)))
        option = data.draw(st.sampled_from([*sorted(value[section]), "new"]))
        value[section][option] = 7
        edited = set_option(text, (section, option), "7")
        self.assertEqual(yaml.safe_load(edited), value)
