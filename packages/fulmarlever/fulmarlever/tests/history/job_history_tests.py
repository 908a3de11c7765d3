from __future__ import annotations

from fulmarlever.history import JobHistory
from fulmarlever.history.causes import MAX_HELD_TASKS
from fulmarlever.history.log_lines import LogLine
from fulmarlever.tests.base import TableTestCase
from fulmarlever.tests.history.base import DONE, KNOWN, line


class JobHistoryTests(TableTestCase):
    ROWS = (
        ("no failure", [KNOWN, DONE], []),
        (
            "refused while the store was unavailable",
            [
                line(2, "feed-lost", "the store answers 503", table="op"),
                line(
                    3, "caller-refused", "no answer", job="j", method="POST", status=503
                ),
            ],
            ["refused on vm-1 (1 x 503), never accepted", "feed-lost"],
        ),
        (
            "failed in each run",
            [
                KNOWN,
                line(2, "run-ended", "failed", task="j.0.0.1", run=1, worker="w1"),
                line(3, "run-ended", "failed", task="j.0.0.1", run=2, worker="w2"),
                line(3, "job-ended", "failed 2 times", job="j", state="failed"),
            ],
            ["runs repeated on w1, w2: 2 x failed", "ended as failed"],
        ),
        (
            "late because its runs were stopped and the owner changed",
            [
                KNOWN,
                line(2, "run-stop", "no progress", task="j.0.0.1", worker="w1"),
                line(3, "run-ended", "stopped", task="j.0.0.1", worker="w1"),
                line(4, "lease-taken", from_vm="vm-9", token=3),
                line(5, "run-not-started", "no room", task="j.0.0.1", worker="w2"),
                DONE,
            ],
            ["1 stopped as no progress", "1 x no room", "vm-1 after vm-9"],
        ),
        (
            "waited because every worker had too few free cores",
            [
                KNOWN,
                line(3, "step-waits", job="j", step="j.0.0", waits_s=2.0, running=0),
                line(
                    8,
                    "step-waits",
                    "mostly for cores",
                    job="j",
                    step="j.0.0",
                    waits_s=7.0,
                    running=1,
                ),
                DONE,
            ],
            ["j.0.0 mostly for cores, 7.0 s so far, 1 of its tasks running"],
        ),
        (
            "waited for workers that were held back",
            [
                KNOWN,
                line(2, "worker-unlisted", worker="w1", runs=0),
                line(2, "worker-lost", "another one's", worker="w2"),
                line(
                    8,
                    "step-waits",
                    "mostly for unlisted",
                    job="j",
                    step="j.0.0",
                    waits_s=7.0,
                    running=0,
                    oldest_hold="unlisted",
                    oldest_hold_s=6.0,
                    oldest_hold_worker="w1",
                ),
                DONE,
            ],
            ["oldest hold: w1 unlisted for 6.0 s (worker-unlisted: )"],
        ),
        (
            "held by runs of which nobody knew what became",
            [
                KNOWN,
                line(2, "worker-unreachable", "no answer in time", worker="w1"),
                *[
                    line(
                        3 + held_s,
                        "task-held",
                        "silent worker",
                        job="j",
                        task=task,
                        run=2,
                        worker="w1",
                        held_s=held_s,
                    )
                    for task, held_s in (("j.0.0.1", 2), ("j.0.0.1", 7), ("j.0.0.2", 2))
                ],
                DONE,
            ],
            [
                "tasks held: j.0.0.1 by its run 2 on w1, silent worker for 7 s",
                "(worker-unreachable: no answer in time); j.0.0.2 by its run 2",
            ],
        ),
        ("never ended", [KNOWN], ["no end of the job is logged"]),
    )

    def test_causes(self):
        for _, lines, expected in self.each(self.ROWS):
            history = JobHistory.from_lines("j", reversed(lines))
            causes = " / ".join(history.causes())
            for part in expected:
                self.assertIn(part, causes)
            if not expected:
                self.assertEqual(causes, "")

    def test_a_cause_names_few_of_many_held_tasks(self):
        lines = [KNOWN, DONE]
        for number in range(MAX_HELD_TASKS + 3):
            task = f"j.0.0.{number}"
            lines.append(line(3, "task-held", "stopping", task=task, run=1, held_s=2))
        (cause,) = JobHistory.from_lines("j", lines).causes()
        self.assertEqual(cause.count("stopping"), MAX_HELD_TASKS)
        self.assertIn("and 3 more", cause)

    def test_other_jobs_and_other_text_are_ignored(self):
        lines = [KNOWN, line(1, "job-known", job="jj"), "text\n", '{"time": 1}\n']
        lines.append(line(1, "run-accepted", task="jj.0.0.0"))
        history = JobHistory.from_lines("j", lines)
        self.assertEqual([item.event for item in history.lines], ["job-known"])

    def test_line_after_a_prefix_is_parsed(self):
        found = LogLine.from_text("  1.5 edge-1 " + KNOWN)
        self.assertEqual((found.event, found.vm), ("job-known", "vm-1"))

    def test_unknown_job_is_reported(self):
        self.assertEqual(JobHistory.from_lines("j", []).describe(), "no line about j")
