"""The history of one job or request, read from the structured logs of all daemons.

Rules in the registry ``CAUSES`` explain failures: each gets the history of a job and
returns a sentence, or an empty string if it does not apply. The names of the rules give
their order.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from fulmarlever.history.log_lines import LogLine
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
        "ends-left-out",
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
        "worker-first-report",
        "worker-lease-lapsed",
        "worker-lost",
        "worker-misdirected",
        "worker-reached",
        "worker-reports-ends",
        "worker-slow",
        "worker-unlisted",
        "worker-unreachable",
    }
)


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

    def changes_of(self, worker: str) -> Iterator[LogLine]:
        """Yield the state changes that name a worker, in the order of time."""
        return (c for c in self.state_changes if c.fields.get("worker") == worker)

    def last_change_of(self, worker: str, until: LogLine) -> LogLine | None:
        """Return the last state change that names a worker, up to a line."""
        changes = [c for c in self.changes_of(worker) if c.at_s <= until.at_s]
        return changes[-1] if changes else None

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
