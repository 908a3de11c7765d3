"""The rules that explain why a job failed, was refused or came late."""

from __future__ import annotations

from collections import Counter

from fulmarlever.history.job_history import CAUSES, JobHistory
from fulmarlever.history.log_lines import LogLine

# Limits the tasks that one cause names.
MAX_HELD_TASKS = 5
RETRIED_OUTCOMES = ("failed", "lapsed", "broken", "alone", "stopped")


def _with_context(history: JobHistory, line: LogLine, sentence: str) -> str:
    """Append the last three state changes of the line's daemon to a sentence."""
    context = [f"{c.event}: {c.outcome}" for c in history.state_changes_before(line)]
    return (
        f"{sentence}; before that: {' | '.join(context[-3:])}" if context else sentence
    )


@CAUSES.register("1 refused")
def explain_refusal(history: JobHistory) -> str:
    """Explain submissions that were refused, or whose outcome stayed unknown."""
    refused = [
        line
        for line in history.find("caller-refused")
        if line.fields.get("method") == "POST"
    ]
    if not refused:
        return ""
    last = refused[-1]
    accepted = any(history.find("job-accepted"))
    ending = "accepted later" if accepted else "never accepted"
    statuses = Counter(str(line.fields.get("status")) for line in refused)
    counts = ", ".join(f"{count} x {status}" for status, count in statuses.items())
    sentence = f"refused on {last.vm} ({counts}), {ending}: {last.outcome}"
    return _with_context(history, last, sentence)


@CAUSES.register("2 repeated runs")
def explain_repeated_runs(history: JobHistory) -> str:
    """Explain runs that did not complete their task."""
    ends = [
        line for line in history.find("run-ended") if line.outcome in RETRIED_OUTCOMES
    ]
    dropped = list(history.find("run-dropped"))
    if not ends and not dropped:
        return ""
    counts = Counter(line.outcome for line in [*ends, *dropped])
    reasons = Counter(line.outcome for line in history.find("run-stop"))
    workers = sorted({str(line.fields.get("worker")) for line in [*ends, *dropped]})
    parts = [f"{count} x {how}" for how, count in counts.most_common()]
    parts += [f"{count} stopped as {why}" for why, count in reasons.most_common()]
    return f"runs repeated on {', '.join(workers)}: {'; '.join(parts)}"


@CAUSES.register("4 not started")
def explain_rejected_starts(history: JobHistory) -> str:
    """Explain runs that workers did not start."""
    counts = Counter(line.outcome for line in history.find("run-not-started"))
    if not counts:
        return ""
    parts = [f"{count} x {why}" for why, count in counts.most_common()]
    return f"runs not started: {'; '.join(parts)}"


@CAUSES.register("5 waited")
def explain_waits(history: JobHistory) -> str:
    """Explain steps whose tasks waited long for a worker."""
    longest: dict[str, LogLine] = {}
    for line in history.find("step-waits"):
        longest[str(line.fields.get("step"))] = line
    parts = [
        f"{step} {line.outcome}, {line.fields.get('waits_s')} s so far, "
        f"{line.fields.get('running')} of its tasks running"
        f"{_describe_oldest_hold(history, line)}"
        for step, line in longest.items()
    ]
    return f"tasks found no worker: {'; '.join(parts)}" if parts else ""


def _describe_oldest_hold(history: JobHistory, line: LogLine) -> str:
    """Return the oldest hold of a worker that a line names, an empty string if none."""
    if "oldest_hold" not in line.fields:
        return ""
    worker = str(line.fields.get("oldest_hold_worker"))
    text = f", oldest hold: {worker} {line.fields['oldest_hold']}"
    text += f" for {line.fields.get('oldest_hold_s')} s"
    return text + _describe_change(history.last_change_of(worker, line))


def _describe_change(change: LogLine | None) -> str:
    """Return a state change in brackets, an empty string if there is none."""
    return f" ({change.event}: {change.outcome})" if change else ""


@CAUSES.register("6 held")
def explain_held_tasks(history: JobHistory) -> str:
    """Explain tasks that were not planned, as their run was uncertain for long."""
    last: dict[tuple, LogLine] = {}
    for line in history.find("task-held"):
        last[(line.fields.get("task"), line.fields.get("run"))] = line
    held = sorted(last.values(), key=_held_s, reverse=True)
    parts = [_describe_held_task(history, line) for line in held[:MAX_HELD_TASKS]]
    if len(held) > MAX_HELD_TASKS:
        parts.append(f"and {len(held) - MAX_HELD_TASKS} more")
    return f"tasks held: {'; '.join(parts)}" if parts else ""


def _held_s(line: LogLine) -> float:
    held_s = line.fields.get("held_s")
    return held_s if isinstance(held_s, int | float) else 0.0


def _describe_held_task(history: JobHistory, line: LogLine) -> str:
    worker = str(line.fields.get("worker"))
    run = f"{line.fields.get('task')} by its run {line.fields.get('run')} on {worker}"
    change = _describe_change(history.last_change_of(worker, line))
    return f"{run}, {line.outcome} for {line.fields.get('held_s')} s{change}"


@CAUSES.register("8 owner changed")
def explain_takeover(history: JobHistory) -> str:
    """Explain a change of the lease's owner while the job was open."""
    if not history.lines:
        return ""
    first, last = history.lines[0].at_s, history.lines[-1].at_s
    taken = [
        line
        for line in history.state_changes
        if line.event == "lease-taken" and first < line.at_s < last
    ]
    if not taken:
        return ""
    names = ", ".join(f"{line.vm} after {line.fields.get('from_vm')}" for line in taken)
    return f"the scheduler's lease changed its owner while the job was open: {names}"


@CAUSES.register("9 ended")
def explain_end(history: JobHistory) -> str:
    """Explain a job that did not complete, or whose end is not in the logs."""
    ended = list(history.find("job-ended"))
    if not ended:
        return "no end of the job is logged" if any(history.find("job-known")) else ""
    last = ended[-1]
    state = last.fields.get("state")
    age = last.fields.get("age_s")
    if state == "completed":
        return ""
    return f"ended as {state} after {age} s: {last.outcome}"
