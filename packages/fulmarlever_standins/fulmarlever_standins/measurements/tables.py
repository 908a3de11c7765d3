"""The registry of measurements, and tables of results as Markdown."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable, Sequence

from fulmarlever.registry import Registry

MEASUREMENTS: Registry[Callable[[], Awaitable[None]]] = Registry("measurement")


def print_table(title: str, head: Sequence[str], rows: Iterable[Sequence]) -> None:
    """Print one table under a heading."""
    print_head(title, head)
    for row in rows:
        print_row(row)


def print_head(title: str, head: Sequence[str]) -> None:
    """Print the heading and the head of a table."""
    print(f"\n### {title}\n")
    print("| " + " | ".join(head) + " |")
    print("| " + " | ".join("---" for _ in head) + " |", flush=True)


def print_row(row: Sequence) -> None:
    """Print one row of a table."""
    print("| " + " | ".join(_text(cell) for cell in row) + " |", flush=True)


def _text(cell: object) -> str:
    if isinstance(cell, float):
        return f"{cell:,.3g}" if abs(cell) < 100 else f"{cell:,.0f}"
    return f"{cell:,}" if isinstance(cell, int) else str(cell)
