from __future__ import annotations

import asyncio
import contextlib
import io
import os
import re
import shlex
import sys
import unittest
from collections.abc import Callable, Iterator
from pathlib import Path
from unittest import mock

from fulmarlever_cli.__main__ import main as operator_main
from fulmarlever_standins.cluster import Cluster
from fulmarleverd.daemon import main as daemon_main

ROOT = Path(__file__).parents[4]
PAGES = (
    "installation.md",
    "settings.md",
    "configuration.md",
    "commands.md",
    "running.md",
)
CONSOLE_BLOCK = re.compile(r"^ *```console\n(.*?)^ *```$", re.MULTILINE | re.DOTALL)
MAINS = {"fulmarlever": operator_main, "fulmarleverd": daemon_main}
ZONES = ("port-antonio", "buff-bay")


def read_commands(page: str) -> Iterator[list[str]]:
    """Yield the commands on a page of the user guide, split into words."""
    text = (ROOT / "docs" / "user-guide" / page).read_text()
    for block in CONSOLE_BLOCK.findall(text):
        for line in block.splitlines():
            words = shlex.split(line)
            if words and words[0] in MAINS:
                yield words


def run_main(main: Callable[[], None], arguments: list[str]) -> tuple[int, str]:
    """Run a binary's main function and return its exit code and its output."""
    output = io.StringIO()
    with (
        mock.patch.object(sys, "argv", ["binary", *arguments]),
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(output),
    ):
        try:
            main()
        except SystemExit as exc:
            return exc.code or 0, output.getvalue()
    return 0, output.getvalue()


class PagesTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = Cluster.from_zones(ZONES, entries=1, workers=4)
        self.addAsyncCleanup(self.cluster.close)
        await self.cluster.start()
        environ = {
            "FULMARLEVER_ADMIN": self.cluster.topology.entries[0].admin_address,
            "FULMARLEVER_TOKEN": self.cluster.operator_token,
        }
        self.enterContext(mock.patch.dict(os.environ, environ))
        self.enterContext(contextlib.chdir(ROOT))

    async def run_command(self, words: list[str]) -> tuple[int, str]:
        return await asyncio.to_thread(run_main, MAINS[words[0]], words[1:])

    async def test_each_command_of_the_user_guide_succeeds(self):
        seen: set[str] = set()
        for page in PAGES:
            commands = list(read_commands(page))
            self.assertTrue(commands, page)
            for words in commands:
                command = " ".join(words)
                # Pages repeat commands; running one again would test nothing more.
                if command in seen:
                    continue
                seen.add(command)
                with self.subTest(page=page, command=command):
                    code, output = await self.run_command(words)
                    self.assertEqual(code, 0, output)
