"""Output of the commands as tables or JSON."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Sequence
from typing import Any

from fulmarlever.findings import Findings
from fulmarlever.outcomes import Failure, OutcomeUnknown

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 3


class Display:
    """Writes results to the standard output and failures to the standard error."""

    __slots__ = ("is_json",)

    def __init__(self, is_json: bool) -> None:
        self.is_json = is_json

    def show(self, data: Any, text: str) -> int:
        """Write a result in the chosen form and return the exit code."""
        print(json.dumps(data, indent=2) if self.is_json else text)
        return EXIT_DONE

    def note(self, text: str) -> None:
        """Write something to read before the result; JSON output leaves it out."""
        if not self.is_json:
            print(text)

    def fail(self, failure: Failure, advice: str = "") -> int:
        """Write a failure and return the exit code."""
        is_unknown = isinstance(failure, OutcomeUnknown)
        if self.is_json:
            print(json.dumps(_failure_data(failure, advice), indent=2))
        else:
            label = "" if isinstance(failure, Findings) else _label(failure)
            print(f"{label}{failure.reason}", file=sys.stderr)
            if advice and is_unknown:
                print(advice, file=sys.stderr)
        return EXIT_UNKNOWN if is_unknown else EXIT_REFUSED


def _label(failure: Failure) -> str:
    if isinstance(failure, OutcomeUnknown):
        return "outcome unknown: "
    return "not done: "


def _failure_data(failure: Failure, advice: str) -> dict[str, Any]:
    is_unknown = isinstance(failure, OutcomeUnknown)
    data: dict[str, Any] = {
        "error": type(failure).__name__,
        "reason": failure.reason,
        "outcome": "unknown" if is_unknown else "not-run",
    }
    if isinstance(failure, Findings):
        data["findings"] = failure.to_wire()
    if is_unknown and advice:
        data["advice"] = advice
    return data


def table(head: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Return rows as text columns under a head."""
    lines = [tuple(head), *(tuple(str(cell) for cell in row) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
