from __future__ import annotations

from fulmarlever.findings import Findings
from fulmarlever.tests.base import TableTestCase
from fulmarleverd.settings import Settings

VALID_SETTINGS = """\
vm: entry-a-1
zone: a
address: 127.0.0.1
platform: 127.0.0.1:7000
heartbeat_s: 0.25
drain_limit_s: 1min
admin_max_body_bytes: 64KiB
peer_secret: 0123456789abcdef
operator_tokens: {olafur: 0123456789abcdef}
peers:
  - {vm: entry-a-2, zone: a, address: 127.0.0.2, port: 7102}
"""

# Name, text in VALID_SETTINGS, its replacement, line and message of the only finding.
INVALID_SETTINGS = [
    ("unknown option", "heartbeat_s", "hartbeat_s", 5, "did you mean 'heartbeat_s'?"),
    ("missing", "vm: entry-a-1\n", "", 1, "option 'vm' is required"),
    ("host name", "127.0.0.1\n", "localhost\n", 3, "expected an IP address"),
    ("wrong unit", "1min", "1GiB", 6, "'GiB' is none of the units"),
    ("no port", ":7000", "", 4, "expected HOST:PORT"),
    ("short secret", "0123456789abcdef\n", "hidden\n", 8, "at least 16 characters"),
    ("peer option", "port: 7102", "prt: 7102, port: 1", 11, "did you mean 'port'?"),
    ("ports", "zone: a\n", "zone: a\npeer_port: 7101\n", 3, "same as another port"),
    ("itself as peer", "entry-a-2", "entry-a-1", 11, "contains this VM"),
    ("suspect limit too short", "0.25", "1.5s", 1, "at least twice heartbeat_s"),
    ("not positive", "0.25", "0", 5, "greater than 0"),
]


class SettingsTests(TableTestCase):
    def test_valid_settings(self):
        settings = Settings.from_text(VALID_SETTINGS, "s.yaml")
        self.assertIsInstance(settings, Settings, str(settings))
        self.assertEqual(settings.heartbeat_s, 0.25)
        self.assertEqual(settings.drain_limit_s, 60.0)
        self.assertEqual(settings.admin_max_body_bytes, 65536)
        self.assertEqual(settings.peers[0].vm, "entry-a-2")

    def test_secrets_are_not_shown(self):
        self.assertNotIn(
            "0123456789abcdef", repr(Settings.from_text(VALID_SETTINGS, "s"))
        )
        found = Settings.from_text(
            VALID_SETTINGS.replace("0123456789abcdef", "hidden"), "s"
        )
        self.assertEqual(len(found), 2)
        self.assertNotIn("hidden", str(found))

    def test_invalid_settings(self):
        for _, old, new, line, message in self.each(INVALID_SETTINGS):
            found = Settings.from_text(VALID_SETTINGS.replace(old, new, 1), "s.yaml")
            self.assertIsInstance(found, Findings)
            self.assertEqual([item.line for item in found], [line], str(found))
            self.assertIn(message, str(found))

    def test_unreadable_file_is_a_finding(self):
        found = Settings.from_file("no-such-file.yaml")
        self.assertIn("no-such-file.yaml:1:1: cannot be read", str(found))
