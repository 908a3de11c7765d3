"""Reading of files that are given on the command line."""

from __future__ import annotations

from pathlib import Path

from fulmarlever.findings import Finding, Findings


def read_text(path: Path) -> str | Findings:
    """Return the text of a UTF-8 file, or a finding that it cannot be read."""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        reason = getattr(exc, "strerror", None) or str(exc)
        return Findings([Finding(str(path), 1, 1, f"cannot be read: {reason}")])
