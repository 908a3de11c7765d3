"""A command line that talks to a daemon in the same process."""

from __future__ import annotations

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

import cappa

from fulmarlever_cli.__main__ import run
from fulmarlever_cli.arguments import Arguments
from fulmarleverd.services.admin import AdminService
from fulmarleverd.services.config import ConfigService
from fulmarleverd.tests.base import make_kernel
from fulmarleverd.tests.generations.fakes import FakeMembership

TOKEN = "token-of-olafur-0123"


class CommandTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts a daemon with the services ``config`` and ``admin``."""

    async def asyncSetUp(self):
        self.kernel = make_kernel(
            admin_port=0, operator_tokens={"olafur": TOKEN}, admin_requests_per_s=1e6
        )
        self.kernel.add(FakeMembership(self.kernel))
        self.kernel.add(ConfigService(self.kernel))
        self.add_services()
        self.kernel.add(AdminService(self.kernel))
        await self.kernel.start()
        self.address = f"127.0.0.1:{self.kernel.find('admin').port}"
        self.folder = tempfile.TemporaryDirectory()

    def add_services(self) -> None:
        """Add what a test needs besides."""

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
