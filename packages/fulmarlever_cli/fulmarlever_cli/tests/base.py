"""A command line that talks to a daemon in the same process."""

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


class MergedEvents(FakeTimeline):
    """A time line with one event of this daemon and one daemon that is away."""

    async def merged(self, query):
        event = Event(1 << 40, "entry-a-1", "a", "job.submitted", detail="labels")
        return MergedTimeline(query.select([event]), {"entry-b-1": "no answer"})


class CommandTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts a daemon with the services ``config`` and ``admin``."""

    async def asyncSetUp(self):
        self.kernel = make_kernel(
            admin_port=0, operator_tokens={"olafur": TOKEN}, admin_requests_per_s=1e6
        )
        self.kernel.add(FakeMembership(self.kernel))
        self.kernel.add(ConfigService(self.kernel))
        self.kernel.add(Jobs(self.kernel))
        self.kernel.add(MergedEvents(self.kernel))
        self.kernel.add(AdminService(self.kernel))
        await self.kernel.start()
        self.address = f"127.0.0.1:{self.kernel.find('admin').port}"
        self.kernel.find("platform").vm_list = {"w-1": WORKER}
        self.folder = tempfile.TemporaryDirectory()

    async def asyncTearDown(self):
        self.folder.cleanup()
        await self.kernel.stop()

    def write(self, text: str) -> str:
        """Write a file and return its path."""
        path = Path(self.folder.name) / "file.yaml"
        path.write_text(text)
        return str(path)

    async def command(self, *words: str, token: str = TOKEN) -> tuple[int, str, str]:
        """Run a command; return its exit code, output and error output."""
        argv = [*words, "--admin", self.address, "--token", token]
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = await run(cappa.parse(Arguments, argv=argv))
        return code, out.getvalue(), err.getvalue()
