"""The command ``compare``."""

from __future__ import annotations

from fulmarlever_standins.arguments import CompareArguments
from fulmarlever_standins.results import ResultsFile, compare


async def compare_results(arguments: CompareArguments) -> None:
    """Print the ratios of the medians of two results files."""
    old, new = ResultsFile.read(arguments.old), ResultsFile.read(arguments.new)
    print(compare(old, new))
