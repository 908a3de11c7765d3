"""Tests of the decoding of the settings file."""

from __future__ import annotations

import json
import os
import tempfile
from pathlib import Path
from unittest import mock

from fulmarlever.outcomes import failed
from fulmarlever.tests.base import TableTestCase
from fulmarleverd.platform.settings import (
    SETTINGS_VARIABLE,
    find_changes,
    parse_settings,
    read_settings,
)

SETTINGS = {
    "nodeName": "edge-1",
    "zone": "z",
    "ip": "10.0.0.1",
    "listenAddrs": {"front": "10.0.0.1:1", "readyAddr": "10.0.0.1:2"},
    "portRange": [7720, 7735],
    "platform": {"address": "10.0.0.9:3"},
    "limits": {"memoryMb": 200},
    "bounds": {"holdMaxMs": 6000, "graceS": 5, "unknown": 1},
    "unknown": {},
}


class SettingsTests(TableTestCase):
    def test_fields_are_decoded(self):
        settings = parse_settings(SETTINGS)
        self.assertEqual((settings.vm, settings.metrics_port), ("edge-1", 7720))
        self.assertEqual(settings.bounds.worker_lease_s, 6.0)
        self.assertEqual(settings.bounds.grace_s, 5.0)
        self.assertEqual(settings.drain_limit_s, 4.0)

    # Guards against limits of callers' connections that follow from invalid numbers.
    def test_limits_have_defaults(self):
        valid = {"memoryMb": 250, "maxFds": 5000, "maxConnectionsPerAddress": 9}
        rows = [
            ("none", {}, (300, 4100, 0)),
            ("valid", valid, (250, 5000, 9)),
            *(
                (repr(bad), dict.fromkeys(valid, bad), (300, 4100, 0))
                for bad in (-1, 0, "x", None, [1], True, 1e400)
            ),
        ]
        for _, limits, expected in self.each(rows):
            found = parse_settings({**SETTINGS, "limits": limits})
            values = (found.memory_mb, found.max_fds, found.connections_per_address)
            self.assertEqual(values, expected)

    # Guards against a deployment that is served differently without asking for it.
    def test_parts_are_off_unless_the_settings_ask_for_them(self):
        names = ("admissionForecast", "learnedRunTimes")
        rows = [
            ("none", {}, False),
            ("on", dict.fromkeys(names, True), True),
            *(
                (repr(other), dict.fromkeys(names, other), False)
                for other in (False, None, "yes", 1, [True])
            ),
        ]
        for _, fields, expected in self.each(rows):
            found = parse_settings({**SETTINGS, **fields})
            self.assertIs(found.has_admission_forecast, expected)
            self.assertIs(found.has_learned_run_times, expected)

    def test_errors_contain_the_missing_field_or_malformed(self):
        rows = [
            (name, {k: v for k, v in SETTINGS.items() if k != name}, name)
            for name in ("nodeName", "zone", "ip", "listenAddrs", "platform")
        ]
        rows += [
            ("not an object", [], "malformed"),
            ("bounds of text", {**SETTINGS, "bounds": {"holdMaxMs": "x"}}, "malformed"),
        ]
        for _, data, expected in self.each(rows):
            found = parse_settings(data)
            self.assertTrue(failed(found))
            self.assertIn(expected, found.reason)

    def test_the_file_is_read_from_the_path_in_the_variable(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.json"
            rows = (
                ("good", json.dumps(SETTINGS), False),
                ("truncated", json.dumps(SETTINGS)[:50], True),
                ("empty", "", True),
            )
            for _, text, expected in self.each(rows):
                path.write_text(text)
                with mock.patch.dict(os.environ, {SETTINGS_VARIABLE: str(path)}):
                    self.assertEqual(failed(read_settings()), expected)
        with mock.patch.dict(os.environ, {SETTINGS_VARIABLE: ""}):
            self.assertIn(SETTINGS_VARIABLE, read_settings().reason)

    def test_names_of_changed_settings_are_found(self):
        old = parse_settings(SETTINGS)
        new = parse_settings({**SETTINGS, "bounds": {"holdMaxMs": 7000, "graceS": 5}})
        self.assertEqual(find_changes(old, new), ("bounds",))
        self.assertEqual(find_changes(old, old), ())
