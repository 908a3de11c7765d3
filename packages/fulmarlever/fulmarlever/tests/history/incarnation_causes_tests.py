from __future__ import annotations

from fulmarlever.history import JobHistory
from fulmarlever.history.incarnation_causes import MAX_RUNS, MISSING, NEXT_END_S
from fulmarlever.tests.base import TableTestCase
from fulmarlever.tests.history.base import DONE, KNOWN, line

MAY_HIDE = line(3, "worker-first-report", worker="w1", may_hide_ends=True)
HIDES_NONE = line(3, "worker-first-report", worker="w1", may_hide_ends=False)


def dropped(at_s: float, outcome: str = MISSING, task: str = "j.0.0.1") -> str:
    """Return the line about a run of the worker ``w1`` that is dropped."""
    return line(at_s, "run-dropped", outcome, task=task, run=2, worker="w1")


def left_out(at_s: float, worker: str = "w1") -> str:
    """Return the line about a worker that has left out three ends."""
    return line(at_s, "ends-left-out", worker=worker, ends=3, number=14)


def kept(at_s: float, left_s: float, task: str = "j.0.0.1") -> str:
    """Return the line about a run that a next incarnation may have."""
    fields = {"task": task, "run": 2, "worker": "w1", "left_s": left_s}
    return line(at_s, "run-kept", "a next incarnation may have it", **fields)


class ForgottenEndsTests(TableTestCase):
    RUN = "run 2 of j.0.0.1 on w1 was dropped"
    # The lines, and a part of the cause; an empty text if there is none.
    ROWS = (
        (
            "left out in the same report",
            [left_out(5), dropped(5)],
            f"{RUN}, and 3 ends",
        ),
        ("left out later", [dropped(5), left_out(9)], "before number 14"),
        ("left out much later", [dropped(5), left_out(6 + NEXT_END_S)], ""),
        ("left out by another worker", [dropped(5), left_out(5, "w2")], ""),
        (
            "an acknowledgement may have come",
            [MAY_HIDE, dropped(5)],
            f"{RUN}, when its",
        ),
        ("one may have come later", [dropped(2), MAY_HIDE], ""),
        ("none may have come", [HIDES_NONE, dropped(5)], ""),
        (
            "the worker reports its ends",
            [MAY_HIDE, line(4, "worker-reports-ends", worker="w1"), dropped(5)],
            "",
        ),
        (
            "the worker has been replaced",
            [MAY_HIDE, line(4, "worker-lost", worker="w1"), dropped(5)],
            "",
        ),
        ("dropped for another reason", [left_out(5), dropped(5, "its lease")], ""),
    )

    def test_runs_that_a_worker_may_have_ended_are_named(self):
        for _, lines, expected in self.each(self.ROWS):
            causes = JobHistory.from_lines("j", [KNOWN, *lines, DONE]).causes()
            found = [cause for cause in causes if cause.startswith("ends that workers")]
            self.assertEqual(len(found), 1 if expected else 0)
            self.assertIn(expected, "".join(found))


class KeptRunsTests(TableTestCase):
    def test_the_last_line_of_each_run_counts(self):
        lines = [KNOWN, kept(3, 12.5), kept(8, 7.5), kept(8, 7.5, "j.0.0.2"), DONE]
        (cause,) = JobHistory.from_lines("j", lines).causes()
        self.assertNotIn("12.5", cause)
        for task in ("j.0.0.1", "j.0.0.2"):
            self.assertIn(f"run 2 of {task} on w1, for at most 7.5 s more", cause)

    def test_a_cause_names_few_of_many_runs(self):
        names = [f"j.0.0.{number}" for number in range(MAX_RUNS + 3)]
        rows = (
            ("kept", [kept(3, 5.0, name) for name in names]),
            ("forgotten", [left_out(3), *[dropped(3, task=name) for name in names]]),
        )
        for _, lines in self.each(rows):
            causes = JobHistory.from_lines("j", [KNOWN, *lines, DONE]).causes()
            cause = next(cause for cause in causes if "run 2 of" in cause)
            self.assertEqual(cause.count("run 2 of"), MAX_RUNS)
            self.assertIn("and 3 more", cause)
