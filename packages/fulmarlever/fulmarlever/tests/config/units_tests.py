from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from fulmarlever.config.units import (
    BYTE_UNITS,
    DURATION_UNITS_S,
    parse_byte_count,
    parse_bytes,
    parse_duration,
    parse_fraction,
    parse_memory_mib,
    parse_seconds,
)
from fulmarlever.tests.base import TableTestCase

ACCEPTED = [
    ("milliseconds", parse_duration, "250ms", 0.25),
    ("hours", parse_duration, "12h", 43200.0),
    ("space before unit", parse_duration, "1.5 min", 90.0),
    ("seconds without unit", parse_seconds, 0.5, 0.5),
    ("seconds with unit", parse_seconds, "500ms", 0.5),
    ("binary prefix", parse_bytes, "4GiB", 4 << 30),
    ("decimal prefix", parse_bytes, "4GB", 4 * 10**9),
    ("bytes without unit", parse_byte_count, 512, 512),
    ("memory", parse_memory_mib, "1.5GiB", 1536.0),
    ("percent", parse_fraction, "12.5%", 0.125),
    ("fraction without unit", parse_fraction, 0.1, 0.1),
]

REFUSED = [
    ("duration without unit", parse_duration, 250, "no unit"),
    ("size as duration", parse_duration, "4GiB", "'GiB' is none of the units"),
    ("negative duration", parse_duration, "-3s", "expected a duration"),
    ("upper-case unit", parse_duration, "3S", "'S' is none of the units"),
    ("duration as size", parse_bytes, "30s", "'s' is none of the units"),
    ("size without unit", parse_bytes, 4096, "no unit"),
    ("boolean as seconds", parse_seconds, True, "expected a duration"),
    ("fraction with unit", parse_fraction, "3s", "not a unit of fractions"),
    ("list", parse_duration, ["3s"], "expected a duration"),
]


class UnitTests(TableTestCase):
    def test_parses_valid_values(self):
        for _, parse, text, value in self.each(ACCEPTED):
            self.assertAlmostEqual(parse(text), value)

    def test_refuses_invalid_values(self):
        for _, parse, text, message in self.each(REFUSED):
            with self.assertRaisesRegex(ValueError, message):
                parse(text)

    @given(st.integers(0, 10**6), st.sampled_from(sorted(DURATION_UNITS_S)))
    def test_every_duration_unit(self, number, unit):
        expected = number * DURATION_UNITS_S[unit]
        self.assertAlmostEqual(parse_duration(f"{number}{unit}"), expected)

    @given(st.integers(0, 10**6), st.sampled_from(sorted(BYTE_UNITS)))
    def test_every_byte_unit(self, number, unit):
        self.assertEqual(parse_bytes(f"{number}{unit}"), number * BYTE_UNITS[unit])

    @given(st.text(max_size=12))
    def test_any_text_gives_a_number_or_a_value_error(self, text):
        for parse in (parse_duration, parse_bytes, parse_fraction):
            try:
                self.assertGreaterEqual(parse(text), 0)
            except ValueError as exc:
                self.assertIn("expected", str(exc))
