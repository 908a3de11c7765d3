"""The entry point of the command ``fulmarlever``."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Sequence

import cappa

from fulmarlever_cli.arguments import Arguments
from fulmarlever_cli.commands import COMMANDS
from fulmarlever_cli.context import Context


async def run(args: Arguments) -> int:
    """Run the subcommand of parsed arguments and return the exit code."""
    context = Context.from_arguments(args)
    async with context.client:
        return await COMMANDS[type(args.command)](args.command, context)


def main(argv: Sequence[str] | None = None) -> None:
    """Parse the command line, run the subcommand and exit with its exit code.

    ``argv`` lists the arguments without the program name; by default, they are taken
    from ``sys.argv``.
    """
    arguments = None if argv is None else list(argv)
    args = cappa.parse(Arguments, argv=arguments)
    sys.exit(asyncio.run(run(args)))


if __name__ == "__main__":
    main()
