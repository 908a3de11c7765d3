"""The history of one job or request, read from the structured logs of all daemons.

A log line is one JSON object, which other text may precede on its line. Rules in the
registry ``CAUSES`` explain failures: each gets the history of a job and returns a
sentence, or an empty string if it does not apply. The names of the rules give their
order.
"""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime

from fulmarlever.registry import Registry

CAUSES: Registry[Callable[[JobHistory], str]] = Registry("cause of a failure")

# A state change of the same daemon within this time before a line may be its cause.
CONTEXT_S = 5.0
# Events that report a change in a daemon's view of its process, configuration, lease,
# store or workers.
STATE_EVENTS = frozenset(
    {
        "commit-retry",
        "config-in-force",
        "feed-history-gone",
        "feed-lost",
        "feed-regained",
        "lease-lost",
        "lease-released",
        "lease-taken",
        "recovered",
        "reload",
        "started",
        "stopping",
        "worker-distrusted",
        "worker-draining",
        "worker-lease-lapsed",
        "worker-lost",
        "worker-misdirected",
        "worker-reached",
        "worker-slow",
        "worker-unlisted",
        "worker-unreachable",
    }
)
# Limits the tasks that one cause names.
MAX_HELD_TASKS = 5
RETRIED_OUTCOMES = ("failed", "lapsed", "broken", "alone", "stopped")


@dataclass(slots=True)
class LogLine:
    """One line of a daemon's log.

    ``at_s`` is the Unix time in seconds and ``fields`` the other values of the event by
    name.
    """

    at_s: float
    vm: str
    event: str
    outcome: str
    fields: dict[str, object]

    @classmethod
    def from_text(cls, text: str) -> LogLine | None:
        """Parse a line of a log file; return ``None`` if it is not a log line."""
        start = text.find('{"time"')
        if start < 0:
            return None
        try:
            data = json.loads(text[start:])
            at_s = datetime.fromisoformat(data.pop("time")).timestamp()
        except (ValueError, TypeError):
            return None
        skipped = ("level", "zone", "life")
        fields = {name: value for name, value in data.items() if name not in skipped}
        vm = str(fields.pop("vm", ""))
        event = str(fields.pop("event", ""))
        return cls(at_s, vm, event, str(fields.pop("outcome", "")), fields)

    def about(self, job: str) -> bool:
        """Return whether the line has the name of a job or of one of its tasks."""
        task = str(self.fields.get("task", ""))
        return self.fields.get("job") == job or task.startswith(job + ".")

    def describe(self) -> str:
        """Return the line as text for people, with the local time of day."""
        fields = " ".join(f"{name}={value}" for name, value in self.fields.items())
        moment = datetime.fromtimestamp(self.at_s).strftime("%H:%M:%S.%f")[:-3]
        return f"{moment} {self.vm} {self.event} {self.outcome} {fields}".rstrip()


@dataclass(slots=True)
class JobHistory:
    """The log lines about one job and the state changes of all daemons."""

    job: str
    lines: list[LogLine] = field(default_factory=list)
    state_changes: list[LogLine] = field(default_factory=list)

    @classmethod
    def from_lines(cls, job: str, texts: Iterable[str]) -> JobHistory:
        """Collect the lines of a job from log files and sort them by time."""
        parsed = [line for line in map(LogLine.from_text, texts) if line]
        parsed.sort(key=lambda line: line.at_s)
        lines = [line for line in parsed if line.about(job)]
        state_changes = [line for line in parsed if line.event in STATE_EVENTS]
        return cls(job, lines, state_changes)

    def find(self, event: str) -> Iterator[LogLine]:
        """Yield the lines of the job with an event name."""
        return (line for line in self.lines if line.event == event)

    def state_changes_before(self, line: LogLine) -> Iterator[LogLine]:
        """Yield the state changes of the line's daemon in ``CONTEXT_S`` before it."""
        for change in self.state_changes:
            if change.vm == line.vm and 0.0 <= line.at_s - change.at_s <= CONTEXT_S:
                yield change

    def last_change_of(self, worker: str, until: LogLine) -> LogLine | None:
        """Return the last state change that names a worker, up to a line."""
        changes = (
            change
            for change in reversed(self.state_changes)
            if change.at_s <= until.at_s and change.fields.get("worker") == worker
        )
        return next(changes, None)

    def causes(self) -> list[str]:
        """Return the sentence of each rule that applies, in the order of the rules."""
        found = (CAUSES.find(name)(self) for name in CAUSES)
        return [sentence for sentence in found if sentence]

    def describe(self) -> str:
        """Return the causes and then the lines of the job, one per line of text."""
        if not self.lines:
            return f"no line about {self.job}"
        causes = [f"cause: {sentence}" for sentence in self.causes()]
        texts = [line.describe() for line in self.lines]
        return "\n".join([*(causes or ["no failure found"]), *texts])


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


@CAUSES.register("3 not started")
def explain_rejected_starts(history: JobHistory) -> str:
    """Explain runs that workers did not start."""
    counts = Counter(line.outcome for line in history.find("run-not-started"))
    if not counts:
        return ""
    parts = [f"{count} x {why}" for why, count in counts.most_common()]
    return f"runs not started: {'; '.join(parts)}"


@CAUSES.register("4 waited")
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


@CAUSES.register("5 held")
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


@CAUSES.register("6 owner changed")
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


@CAUSES.register("7 ended")
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
