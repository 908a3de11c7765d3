"""Output of the commands as text or JSON, and their exit codes."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Sequence
from typing import Any

from fulmarlever.findings import Findings
from fulmarlever.outcomes import Failure, OutcomeUnknown

EXIT_SUCCESS = 0
EXIT_FAILURE = 1
EXIT_OUTCOME_UNKNOWN = 3


class Display:
    """Writer of the results and failures of commands.

    Text results go to standard output, and text failures to standard error. With
    ``is_json``, both go to standard output as JSON.
    """

    __slots__ = ("is_json",)

    def __init__(self, is_json: bool) -> None:
        self.is_json = is_json

    def show_result(self, data: Any, text: str) -> int:
        """Print ``data`` as JSON, or else ``text``, and return the exit code."""
        print(json.dumps(data, indent=2) if self.is_json else text)
        return EXIT_SUCCESS

    def show_note(self, text: str) -> None:
        """Print text that precedes the result; JSON output omits it."""
        if not self.is_json:
            print(text)

    def show_failure(self, failure: Failure, advice: str = "") -> int:
        """Print a failure and return the exit code.

        ``advice`` tells how to find out an unknown outcome, and is printed only then.
        """
        is_unknown = isinstance(failure, OutcomeUnknown)
        if self.is_json:
            print(json.dumps(_failure_data(failure, advice), indent=2))
        else:
            prefix = "" if isinstance(failure, Findings) else _failure_prefix(failure)
            print(f"{prefix}{failure.reason}", file=sys.stderr)
            if advice and is_unknown:
                print(advice, file=sys.stderr)
        return EXIT_OUTCOME_UNKNOWN if is_unknown else EXIT_FAILURE


def _failure_prefix(failure: Failure) -> str:
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


def format_table(headings: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Return aligned text columns under headings, without trailing spaces.

    Each row must have one cell for each heading.
    """
    text_rows = [tuple(headings), *(tuple(str(cell) for cell in row) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*text_rows, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in text_rows
    )
