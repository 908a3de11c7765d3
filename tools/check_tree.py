"""Check tracked files for licence banners, registry hosts and absolute local paths."""

from __future__ import annotations

import re
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent

BANNED = {
    "licence banner": re.compile(
        r"SPDX-"
        + r"License|Copyright \(c\)|Licensed "
        + r"under|All rights "
        + "reserved"
    ),
    "registry host": re.compile(
        r"pypi\." + r"org|python" + r"hosted|--(?:extra-)?index-url"
    ),
    "machine path": re.compile(r"(?<![\w.])/(?:work|home|root|farm)" + r"/\w"),
}

EXEMPT = {".gitignore"}


def tracked_files() -> Iterator[Path]:
    """Yield the files that git tracks, except those in ``EXEMPT``."""
    result = subprocess.run(
        ["git", "ls-files", "-z"], cwd=ROOT, check=True, capture_output=True
    )
    for name in result.stdout.decode().split("\0"):
        path = ROOT / name
        if name and name not in EXEMPT and path.is_file():
            yield path


def find_banned(path: Path) -> Iterator[str]:
    """Yield ``path:line: label: text`` for each banned text in a file."""
    text = path.read_text(encoding="utf-8", errors="replace")
    for line_number, line in enumerate(text.splitlines(), start=1):
        for label, pattern in BANNED.items():
            if pattern.search(line):
                yield f"{path.relative_to(ROOT)}:{line_number}: {label}: {line.strip()}"


def main() -> int:
    """Print every finding and return the exit code: 1 if there are any, else 0."""
    findings = [finding for path in tracked_files() for finding in find_banned(path)]
    for finding in findings:
        print(finding)
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
