"""The operator's command line, run as a process."""

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
    """The end of one command."""

    code: int
    output: str
    errors: str


class Operator:
    """Runs ``fulmarlever`` against the admin ports of a cluster."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster

    async def run(self, *words: str, admins: list[str] | None = None) -> CommandResult:
        """Run a command against the given admin ports, or all of them."""
        admins = admins or [vm.admin_address for vm in self.cluster.topology.entries]
        options = [part for admin in admins for part in ("--admin", admin)]
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "fulmarlever_cli",
            *words,
            *options,
            "--token",
            self.cluster.operator_token,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        output, errors = await process.communicate()
        return CommandResult(process.returncode, output.decode(), errors.decode())

    async def check_output(self, *words: str) -> str:
        """Return the output of a command.

        Raise ``ProcessError`` when its exit code is not 0.
        """
        done = await self.run(*words)
        if done.code != 0:
            command = " ".join(words)
            raise ProcessError(
                f"fulmarlever {command}: exit code {done.code}\n"
                f"{done.output}{done.errors}"
            )
        return done.output

    async def read_json(self, *words: str) -> Any:
        """Return the parsed JSON output of a command.

        Raise ``ProcessError`` when its exit code is not 0.
        """
        return json.loads(await self.check_output(*words, "--output", "json"))
