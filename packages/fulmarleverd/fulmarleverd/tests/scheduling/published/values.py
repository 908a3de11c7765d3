"""What the published rows of a test hold."""

from __future__ import annotations

from fulmarleverd.scheduling.ports import StoredRow
from fulmarleverd.scheduling.published.publication import Publication


def published_value(row: StoredRow) -> bytes:
    """Return the value of a published row, empty for a row that is removed."""
    return Publication.from_row(row).value if row.value else b""
