"""The rules for runs of workers that have started again under their ids.

A call that was meant for a former incarnation may have reached the next one: an
acknowledgement, by which it forgets ends before it reports them, or a start.
"""

from __future__ import annotations

from collections.abc import Iterator

from fulmarlever.history.job_history import CAUSES, JobHistory
from fulmarlever.history.log_lines import LogLine

# The outcome of the line about a run that is in no report of its worker.
MISSING = "its worker no longer has it"
# A worker that has forgotten ends shows this by the number of the next end that it
# reports, in the report that lacks a run or up to this long after it.
NEXT_END_S = 30.0
# A worker's first report tells whether it may have forgotten ends. It has not once it
# reports an end, and its next incarnation says so anew.
HIDING_CHANGES = ("worker-first-report", "worker-reports-ends", "worker-lost")
# Limits the runs that one cause names.
MAX_RUNS = 5


@CAUSES.register("3 forgotten ends")
def explain_forgotten_ends(history: JobHistory) -> str:
    """Explain runs whose worker may have forgotten their ends.

    Such a run may have ended as done, so that its task has run twice.
    """
    parts = list(_describe_forgotten(history))
    return f"ends that workers may have forgotten: {_join(parts)}" if parts else ""


def _describe_forgotten(history: JobHistory) -> Iterator[str]:
    for line in history.find("run-dropped"):
        evidence = _find_evidence(history, line) if line.outcome == MISSING else ""
        if evidence:
            yield f"{_describe_run(line)} was dropped, {evidence}"


def _find_evidence(history: JobHistory, dropped: LogLine) -> str:
    """Return why the worker of a dropped run may have forgotten its end, or ``""``."""
    hides_ends = False
    for change in history.changes_of(str(dropped.fields.get("worker"))):
        delay_s = change.at_s - dropped.at_s
        if change.event == "ends-left-out" and abs(delay_s) <= NEXT_END_S:
            ends, number = change.fields.get("ends"), change.fields.get("number")
            return f"and {ends} ends before number {number} were never reported"
        if delay_s <= 0.0 and change.event in HIDING_CHANGES:
            hides_ends = bool(change.fields.get("may_hide_ends"))
    return "when its worker might not have reported an end" if hides_ends else ""


@CAUSES.register("7 kept for the next incarnation")
def explain_kept_runs(history: JobHistory) -> str:
    """Explain tasks that waited because a next incarnation may have their run."""
    last = {
        (line.fields.get("task"), line.fields.get("run")): line
        for line in history.find("run-kept")
    }
    parts = [
        f"{_describe_run(line)}, for at most {line.fields.get('left_s')} s more"
        for line in last.values()
    ]
    if not parts:
        return ""
    return f"tasks waited as a next incarnation may have their run: {_join(parts)}"


def _describe_run(line: LogLine) -> str:
    run = line.fields.get("run")
    return f"run {run} of {line.fields.get('task')} on {line.fields.get('worker')}"


def _join(parts: list[str]) -> str:
    """Return the first parts as one text, with the number of the others."""
    left_out = len(parts) - MAX_RUNS
    named = parts[:MAX_RUNS]
    return "; ".join([*named, f"and {left_out} more"] if left_out > 0 else named)
