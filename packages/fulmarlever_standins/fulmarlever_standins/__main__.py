"""The entry point of ``python -m fulmarlever_standins``."""

from __future__ import annotations

import asyncio
import sys

import cappa

from fulmarlever_standins.arguments import Arguments


def main() -> int:
    """Run the command that the arguments name and return its exit code."""
    return asyncio.run(cappa.invoke_async(Arguments)) or 0


if __name__ == "__main__":
    sys.exit(main())
