"""Base class of tests that run commands against a daemon in the same process."""

from __future__ import annotations

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

import cappa

from fulmarlever.structure.fleet import VM
from fulmarlever.structure.size import Size
from fulmarlever.timeline import Event, MergedTimeline
from fulmarlever_cli.__main__ import run
from fulmarlever_cli.arguments import Arguments
from fulmarleverd.services.admin import AdminService
from fulmarleverd.services.config import ConfigService
from fulmarleverd.services.jobs import Jobs
from fulmarleverd.tests.base import FakeTimeline, make_kernel
from fulmarleverd.tests.generations.fakes import FakeMembership

TOKEN = "token-of-olafur-0123"
WORKER = VM("w-1", "a", "worker", "127.0.0.1", 1, size=Size(4, 8192))


class FakeMergedTimeline(FakeTimeline):
    """A timeline with one event of this daemon and one unreachable daemon."""

    async def merged(self, query):
        event = Event(1 << 40, "entry-a-1", "a", "job.submitted", detail="labels")
        return MergedTimeline(query.select([event]), {"entry-b-1": "no answer"})


class CommandTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts a daemon with the services that the commands use."""

    async def asyncSetUp(self):
        self.kernel = make_kernel(
            admin_port=0, operator_tokens={"olafur": TOKEN}, admin_requests_per_s=1e6
        )
        self.kernel.add(FakeMembership(self.kernel))
        self.kernel.add(ConfigService(self.kernel))
        self.kernel.add(Jobs(self.kernel))
        self.kernel.add(FakeMergedTimeline(self.kernel))
        self.kernel.add(AdminService(self.kernel))
        await self.kernel.start()
        self.address = f"127.0.0.1:{self.kernel.find('admin').port}"
        self.kernel.find("platform").vm_list = {"w-1": WORKER}
        self.directory = tempfile.TemporaryDirectory()

    async def asyncTearDown(self):
        self.directory.cleanup()
        await self.kernel.stop()

    def write_file(self, text: str) -> str:
        """Write a temporary YAML file and return its path."""
        path = Path(self.directory.name) / "file.yaml"
        path.write_text(text)
        return str(path)

    async def run_command(
        self, *arguments: str, token: str = TOKEN
    ) -> tuple[int, str, str]:
        """Run a command and return its exit code, standard output and error output."""
        argv = [*arguments, "--admin", self.address, "--token", token]
        output, error_output = io.StringIO(), io.StringIO()
        with (
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(error_output),
        ):
            code = await run(cappa.parse(Arguments, argv=argv))
        return code, output.getvalue(), error_output.getvalue()
