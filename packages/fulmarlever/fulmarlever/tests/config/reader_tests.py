from __future__ import annotations

import textwrap

from hypothesis import given
from hypothesis import strategies as st

from fulmarlever.config.reader import parse_configuration, parse_jobs
from fulmarlever.findings import Findings
from fulmarlever.structure.configuration import Configuration, Urgency
from fulmarlever.tests.base import TableTestCase

SUBMITTED_S = 1_000_000.0

VALID = """\
zones: [a, b]
workers:
  standard: {size: {cores: 4, memory: 8GiB}, zones: [a, b], vms: [w-1, w-2]}
teams:
  orders: {quota: {cores: 2, memory: 4GiB}}
services:
  filling:
    team: orders
    urgency: critical
    target: 250ms
    size: {cores: 1, memory: 512MiB}
    vms: [standard]
    requests:
      - {method: POST, path: /orders, idempotent: false}
jobs:
  labels:
    team: orders
    size: {cores: 1}
    deadline: in 2h
"""

INVALID = """\
zones: [a, b]
workers:
  standard: {size: {cores: 4, memory: 8GiB}, zones: [c]}
teams:
  orders: {quota: {cores: 2, memory: 4ms}}
  orders: {}
services:
  filling:
    team: ordres
    urgency: urgent
    targt: 250ms
    instances: 0
    size: {cores: 8}
jobs:
  labels:
    size: {cores: 1}
    deadline: tomorrow
"""

INVALID_FINDINGS = [
    (3, 54, "unknown zone 'c'"),
    (5, 38, "'ms' is none of the units"),
    (6, 3, "duplicate key 'orders', first on line 5"),
    (9, 11, "unknown team 'ordres'; did you mean 'orders'?"),
    (10, 14, "expected one of critical, high, normal, low"),
    (11, 5, "unknown option 'targt'; did you mean 'target'?"),
    (12, 16, "expected greater than or equal to 1, not 0"),
    (13, 11, "can never run: needs 8 cores"),
    (15, 3, "option 'team' is required"),
    (17, 15, "deadline: expected 'in' and a duration"),
]

# name, text replaced in VALID, replacement, line and message of the only finding
SINGLE_ERRORS = [
    ("unknown section", "zones:", "zoens: []\nzones:", 1, "did you mean 'zones'"),
    ("unknown zone", "vms: [standard]", "zones: [c]", 12, "unknown zone 'c'"),
    ("unknown vm", "vms: [standard]", "vms: [w-3]", 12, "unknown VM"),
    ("duplicate zone", "[a, b]\nworkers", "[a, a, b]\nworkers", 1, "listed twice"),
    ("over quota", "size: {cores: 1}", "size: {cores: 3}", 18, "over the quota"),
    ("too large", "cores: 1, m", "cores: 5, m", 11, "largest worker allowed has 4 co"),
    ("empty size", "size: {cores: 1}", "size: {}", 18, "a size needs cores"),
    ("invalid name", "labels:", "Labels:", 16, "lower-case letters"),
    ("shared name", "labels:", "filling:", 16, "is also a service"),
    ("time without UTC offset", "in 2h", "2027-01-01T00:00:00", 19, "has no offset"),
    ("relative path", "/orders", "orders", 14, "path"),
    ("target over run time", "250ms", "1min", 10, "over max_run"),
    ("share over 1", "target:", "guaranteed_share: 120%\n    target:", 10, "less than"),
    ("list for mapping", "  labels:", "  - labels", 17, "YAML syntax"),
    ("not a mapping", VALID, "- 1", 1, "expected a mapping of sections"),
    ("empty", VALID, "", 1, "expected a mapping of sections"),
]


class ReaderTests(TableTestCase):
    def test_valid_file(self):
        cfg = parse_configuration(VALID, "f.yaml", SUBMITTED_S)
        self.assertIsInstance(cfg, Configuration)
        service = cfg.services["filling"]
        self.assertEqual(service.target_s, 0.25)
        self.assertEqual(service.urgency, Urgency.CRITICAL)
        self.assertEqual(service.vms, ("w-1", "w-2"))
        self.assertEqual(service.size.memory_mib, 512)
        self.assertFalse(service.is_idempotent("POST", "/orders/1"))
        self.assertEqual(cfg.jobs["labels"].deadline_s, SUBMITTED_S + 7200)

    def test_relative_deadline_counts_from_earlier_submission(self):
        cfg = parse_configuration(VALID, "f", SUBMITTED_S, {"labels": 5.0})
        self.assertEqual(cfg.jobs["labels"].deadline_s, 7205.0)

    def test_every_error_gives_a_finding_with_its_position(self):
        findings = list(parse_configuration(INVALID, "broken.yaml"))
        positions = [(finding.line, finding.column) for finding in findings]
        self.assertEqual(positions, [expected[:2] for expected in INVALID_FINDINGS])
        for finding, (line, column, message) in zip(
            findings, INVALID_FINDINGS, strict=True
        ):
            self.assertIn(message, str(finding))
            self.assertTrue(str(finding).startswith(f"broken.yaml:{line}:{column}: "))

    def test_single_errors(self):
        for _, old, new, line, message in self.each(SINGLE_ERRORS):
            findings = parse_configuration(VALID.replace(old, new, 1), "f.yaml")
            self.assertIsInstance(findings, Findings)
            self.assertEqual(
                [finding.line for finding in findings], [line], str(findings)
            )
            self.assertIn(message, str(findings))

    def test_parse_jobs(self):
        cfg = parse_configuration(VALID, "f.yaml")
        text = "jobs:\n  dry: {team: TEAM, size: {cores: 1}, zones: [a]}\n"
        jobs = parse_jobs(text.replace("TEAM", "orders"), "j", cfg, SUBMITTED_S)
        self.assertEqual(jobs["dry"].zones, ("a",))
        findings = parse_jobs(text.replace("TEAM", "order"), "j", cfg, SUBMITTED_S)
        self.assertIn("did you mean 'orders'?", str(findings))

    def test_recursive_anchor_is_a_finding(self):
        text = textwrap.dedent("zones: &z [*z]")
        self.assertIn("nested too deeply", str(parse_configuration(text, "f")))

    @given(
        st.integers(0, len(VALID)),
        st.integers(0, 40),
        st.text(alphabet="ab1: {}[],%-\n", max_size=6),
    )
    def test_findings_of_edited_file_have_positions_inside_it(
        self, start, length, inserted
    ):
        text = VALID[:start] + inserted + VALID[start + length :]
        result = parse_configuration(text, "f.yaml")
        lines = text.split("\n")
        for finding in result if isinstance(result, Findings) else ():
            self.assertTrue(1 <= finding.line <= len(lines), str(finding))
            self.assertTrue(
                1 <= finding.column <= len(lines[finding.line - 1]) + 1, str(finding)
            )

    # Regression: reported in a line of its own behind a text without a final newline.
    @given(st.sampled_from(["", "\n"]))
    def test_syntax_error_at_the_end_is_reported_there(self, newline):
        text = VALID[:416] + VALID[431:].rstrip("\n") + newline
        result = parse_configuration(text, "f.yaml")
        self.assertIsInstance(result, Findings)
        lines = text.split("\n")
        for finding in result:
            self.assertLessEqual(finding.line, len(lines), str(finding))

    @given(st.text(alphabet="ab:[]{}-&*!'\"#\n 1", max_size=60))
    def test_any_text_gives_a_configuration_or_findings(self, text):
        result = parse_configuration(text, "f")
        self.assertIsInstance(result, Findings | Configuration)
