"""Results of experiments, their files and their tables."""

from __future__ import annotations

import json
import statistics
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass, field
from pathlib import Path

from hdrh.histogram import HdrHistogram

from fulmarlever_standins.caller import CallerResult, Reply

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
INTERVAL_S = 0.25
MIN_SERVED_FRACTION = 0.95
COLUMNS = (
    "variant", "level", "load", "offered/s", "served/s", "served %", "p50 ms",
    "p99 ms", "p99.9 ms", "not run", "unknown", "lost", "recovery s", "overruns",
    "daemon cpu",
)  # fmt: skip


@dataclass(slots=True)
class RunResult:
    """The measurements of one load in one run.

    ``counts`` maps replies to numbers of requests. Latencies are percentiles of served
    requests only; ``histogram`` is their encoded HDR histogram in microseconds.
    ``cpu_s`` is the CPU time of all daemons. ``recovery_s`` is the time from the first
    fault to the end of the last interval in which fewer than 95 % of the requests were
    served. ``violations`` has one line for each violated invariant.
    """

    variant: str
    level: float
    repeat: int
    load: str
    duration_s: float
    counts: dict[str, int]
    p50_ms: float
    p99_ms: float
    p999_ms: float
    recovery_s: float
    cpu_s: float
    overruns: int
    max_in_progress: int
    max_connections: int
    histogram: str
    violations: list[str] = field(default_factory=list)
    by_entry: dict[str, int] = field(default_factory=dict)

    @property
    def sent(self) -> int:
        """Return the number of requests sent."""
        return sum(self.counts.values())

    @property
    def served(self) -> int:
        """Return the number of requests with a complete answer of a backend server."""
        return self.counts.get(Reply.SERVED, 0)

    def row(self) -> tuple[float, ...]:
        """Return the numbers of a table row, in the order of the numeric columns."""
        counts = self.counts
        return (
            self.sent / self.duration_s,
            self.served / self.duration_s,
            100.0 * self.served / max(1, self.sent),
            self.p50_ms,
            self.p99_ms,
            self.p999_ms,
            counts.get(Reply.NOT_RUN, 0) + counts.get(Reply.REFUSED, 0),
            counts.get(Reply.UNKNOWN, 0),
            counts.get(Reply.LOST, 0),
            self.recovery_s,
            self.overruns,
            self.cpu_s / self.duration_s,
        )


@dataclass(slots=True)
class ResultsFile:
    """The results of all runs of one experiment."""

    experiment: str
    results: list[RunResult] = field(default_factory=list)

    @classmethod
    def read(cls, path: Path) -> ResultsFile:
        """Read a results file.

        Raise ``KeyError``, ``TypeError`` or ``ValueError`` for malformed contents.
        """
        data = json.loads(path.read_text(encoding="utf-8"))
        return cls(data["experiment"], [RunResult(**row) for row in data["results"]])

    def write(self, path: Path) -> None:
        """Write the results to a JSON file and create its directory if needed."""
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(json.dumps(asdict(self)), encoding="utf-8")

    def medians(self) -> dict[tuple[str, float, str], list[float]]:
        """Return the medians over the repetitions by variant, level and load."""
        groups: dict[tuple[str, float, str], list[RunResult]] = {}
        for result in self.results:
            key = (result.variant, result.level, result.load)
            groups.setdefault(key, []).append(result)
        return {
            key: [
                statistics.median(column)
                for column in zip(*(result.row() for result in group), strict=True)
            ]
            for key, group in groups.items()
        }

    def violations(self) -> list[str]:
        """Return the violated invariants of all runs."""
        return [line for result in self.results for line in result.violations]

    def table(self) -> str:
        """Return the medians as a Markdown table."""
        return format_table(COLUMNS, self._cells())

    def _cells(self) -> Iterator[list[str]]:
        for key, numbers in self.medians().items():
            yield [*map(str, key), *(f"{number:.4g}" for number in numbers)]


def compare(old: ResultsFile, new: ResultsFile) -> str:
    """Return the ratios of the new medians to the old ones as a Markdown table."""
    old_medians, new_medians = old.medians(), new.medians()
    return format_table(
        COLUMNS,
        (
            [*map(str, key), *map(_ratio, old_medians[key], numbers)]
            for key, numbers in new_medians.items()
            if key in old_medians
        ),
    )


def summarise(
    results: list[CallerResult], started: float, first_fault_s: float | None
) -> dict:
    """Return the fields of a ``RunResult`` that follow from the callers' results.

    ``started`` is the monotonic start time of the run in seconds. ``first_fault_s`` is
    the time of the first fault after it, or ``None`` without faults.
    """
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for result in results:
        if result.reply is Reply.SERVED:
            histogram.record_value(max(1, int(result.latency_s * 1e6)))
    percentiles = (50.0, 99.0, 99.9)
    p50, p99, p999 = (
        histogram.get_value_at_percentile(percentile) / 1000.0
        for percentile in percentiles
    )
    return {
        "counts": dict(Counter(str(result.reply) for result in results)),
        "p50_ms": p50,
        "p99_ms": p99,
        "p999_ms": p999,
        "recovery_s": _recovery_s(results, started, first_fault_s),
        "histogram": histogram.encode().decode(),
        "by_entry": dict(Counter(result.entry for result in results)),
    }


def format_table(header: Iterable[str], rows: Iterable[Iterable[str]]) -> str:
    """Return a Markdown table of a header and rows of cells."""
    header = list(header)
    lines = [header, ["---"] * len(header), *rows]
    return "\n".join(f"| {' | '.join(line)} |" for line in lines)


def _recovery_s(
    results: list[CallerResult], started: float, first_fault_s: float | None
) -> float:
    if first_fault_s is None:
        return 0.0
    sent: Counter[int] = Counter()
    served: Counter[int] = Counter()
    for result in results:
        interval = int((result.started - started) / INTERVAL_S)
        sent[interval] += 1
        served[interval] += result.reply is Reply.SERVED
    failed_intervals = [
        i for i, n in sent.items() if served[i] < MIN_SERVED_FRACTION * n
    ]
    ends = [(i + 1) * INTERVAL_S - first_fault_s for i in failed_intervals]
    return max([0.0, *ends])


def _ratio(old: float, new: float) -> str:
    if old == new:
        return "1"
    return f"{new / old:.3g}" if old else f"{old:.3g} -> {new:.3g}"
