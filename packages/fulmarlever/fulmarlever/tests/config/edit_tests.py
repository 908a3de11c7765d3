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
        "replaced in flow",
        ("services", "flow", "target"),
        "flow: {team: a, target: 0.3}",
    ),
    ("inserted in flow", ("services", "flow", "slots"), "flow: {slots: 0.3, team: a"),
]

REFUSED = [
    ("no entry", ("services", "none", "x"), "no entry services.none"),
    ("empty entry", ("services", "empty", "x"), "no entry services.empty"),
    ("list", ("services", "list", "x"), "no entry services.list"),
    ("mapping as value", ("services", "flow"), "not a plain value"),
]


class EditTests(TableTestCase):
    def test_set(self):
        for _, path, part in self.each(CASES):
            text = set_option(TEXT, path, "0.3")
            self.assertIn(part, text)
            self.assertIn("# Größe: kept", text)

    def test_refused(self):
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
    def test_only_the_option_changes(self, value, is_flow, data):
        text = yaml.dump(value, default_flow_style=is_flow, allow_unicode=True)
        entry = data.draw(st.sampled_from(sorted(value)))
        option = data.draw(st.sampled_from([*sorted(value[entry]), "new"]))
        value[entry][option] = 7
        changed = set_option(text, (entry, option), "7")
        self.assertEqual(yaml.safe_load(changed), value)
