"""The command ``explain``."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from pathlib import Path

from fulmarlever.history import JobHistory
from fulmarlever.outcomes import Refused
from fulmarlever_cli.arguments import Explain
from fulmarlever_cli.context import Context


async def explain(args: Explain, context: Context) -> int:
    """Show the log history of a job and the causes of its failure."""
    try:
        history = JobHistory.from_lines(args.job, read_lines(args.files))
    except OSError as exc:
        return context.display.show_failure(Refused(f"{exc.filename}: {exc.strerror}"))
    data = {
        "job": history.job,
        "causes": history.causes(),
        "lines": [line.describe() for line in history.lines],
    }
    return context.display.show_result(data, history.describe())


def read_lines(files: list[Path]) -> Iterator[str]:
    """Yield the lines of the files, or of standard input if there are no files.

    Raise ``OSError`` for a file that cannot be read.
    """
    if not files:
        yield from sys.stdin
    for path in files:
        with path.open(encoding="utf-8", errors="replace") as stream:
            yield from stream
