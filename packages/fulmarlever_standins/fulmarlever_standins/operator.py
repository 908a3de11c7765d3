"""The operator's command line, run as a child process."""

from __future__ import annotations

import asyncio
import json
import sys
from dataclasses import dataclass
from typing import Any

from fulmarlever_standins.cluster import Cluster
from fulmarlever_standins.processes import ProcessError


@dataclass(slots=True, frozen=True)
class CommandResult:
    """The exit code and the output of one command."""

    code: int
    output: str
    errors: str


class Operator:
    """Runs the command ``fulmarlever`` against the admin ports of a cluster."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster

    async def run(
        self, *arguments: str, admins: list[str] | None = None
    ) -> CommandResult:
        """Run a command against the given admin ports, by default all of them."""
        admins = admins or [vm.admin_address for vm in self.cluster.topology.entries]
        options = [option for admin in admins for option in ("--admin", admin)]
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "fulmarlever_cli",
            *arguments,
            *options,
            "--token",
            self.cluster.operator_token,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        output, errors = await process.communicate()
        return CommandResult(process.returncode, output.decode(), errors.decode())

    async def check_output(self, *arguments: str) -> str:
        """Run a command and return its standard output.

        Raise ``ProcessError`` when its exit code is not 0.
        """
        result = await self.run(*arguments)
        if result.code != 0:
            command = " ".join(arguments)
            raise ProcessError(
                f"fulmarlever {command}: exit code {result.code}\n"
                f"{result.output}{result.errors}"
            )
        return result.output

    async def read_json(self, *arguments: str) -> Any:
        """Run a command and return its parsed JSON output.

        Raise ``ProcessError`` when its exit code is not 0.
        """
        return json.loads(await self.check_output(*arguments, "--output", "json"))
