from __future__ import annotations

from fulmarlever.config.plan import PlanStep, diff_configurations
from fulmarlever.config.reader import check_configuration, parse_configuration
from fulmarlever.structure.fleet import VM
from fulmarlever.structure.size import Size
from fulmarlever.tests.base import TableTestCase
from fulmarlever.tests.config.reader_tests import VALID

# name, text replaced in VALID, replacement, lines of the plan
PLAN_CASES = [
    ("nothing", "a", "a", []),
    ("instances", "team:", "instances: 3\n    team:", ["instances 1 -> 3"]),
    ("urgency", "critical", "low", ["urgency critical -> low"]),
    ("size", "512MiB", "1GiB", ["1c/512MiB/0a -> 1c/1024MiB/0a"]),
    (
        "removed job",
        VALID[VALID.index("jobs:") :],
        "",
        ["- jobs labels (drained first)"],
    ),
    ("renamed", "labels:", "tags:", ["- jobs labels (drained first)", "+ jobs tags"]),
]

VM_LIST = [
    VM("w-1", "a", "worker", "127.0.0.1", 1, size=Size(0.5, 1024)),
    VM("w-9", "a", "worker", "127.0.0.1", 1, size=Size(2, 256)),
    VM("entry-1", "b", "entry", "127.0.0.1", 1),
]


class PlanTests(TableTestCase):
    def test_diff_configurations(self):
        old = parse_configuration(VALID, "f")
        for _, text, replacement, lines in self.each(PLAN_CASES):
            new = parse_configuration(VALID.replace(text, replacement, 1), "f")
            steps = diff_configurations(old, new)
            self.assertEqual(len(steps), len(lines))
            for step, line in zip(steps, lines, strict=True):
                self.assertIn(line, str(step))
                self.assertEqual(PlanStep.from_wire(step.to_wire()), step)

    def test_warns_about_entries_that_no_worker_can_run(self):
        checked = check_configuration(VALID, "f", vms=VM_LIST)
        self.assertIsNotNone(checked.configuration)
        lines = [str(finding) for finding in checked.findings]
        self.assertEqual(
            lines,
            [
                "f:1:12: warning: the VM list has no worker in zone 'b'",
                "f:11:11: warning: cannot run now: needs 1 cores, and the largest "
                "listed worker has 0.5 cores",
                "f:12:10: warning: the VM list has no worker 'w-2'",
            ],
        )

    def test_warns_about_change_of_accepted_job(self):
        old = parse_configuration(VALID, "f", 1000.0)
        text = VALID.replace("deadline: in 2h", "tasks: 3")
        checked = check_configuration(text, "f", 1000.0, in_force=old)
        (finding,) = checked.findings
        self.assertEqual((finding.line, finding.is_warning), (17, True))
        self.assertIn("keeps its declaration", finding.message)
