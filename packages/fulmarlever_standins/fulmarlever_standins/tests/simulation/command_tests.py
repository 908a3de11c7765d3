"""The command that plays seeds or a stored plan."""

from __future__ import annotations

from contextlib import redirect_stdout
from io import StringIO
from pathlib import Path
from tempfile import TemporaryDirectory

import cappa

from fulmarlever.tests.base import TableTestCase
from fulmarlever_standins.arguments import SimulateArguments
from fulmarlever_standins.commands.simulate import run_simulation
from fulmarlever_standins.simulation.plan import Plan

SMALL = Plan.draw(1, 8, 3, 2.0)


class SimulateTests(TableTestCase):
    def test_the_exit_code_tells_what_was_found(self):
        rows = (
            ("a sound play", SMALL.to_yaml(), 0, "0 of 1 plays"),
            ("no plan", "jobs: 3", 2, ""),
            ("no file", None, 2, ""),
        )
        for name, text, code, printed in self.each(rows):
            with TemporaryDirectory() as directory:
                path = Path(directory) / "plan.yaml"
                if text is not None:
                    path.write_text(text, encoding="utf-8")
                out = StringIO()
                arguments = SimulateArguments(replay=path)
                with self.assertRaises(cappa.Exit) as raised, redirect_stdout(out):
                    run_simulation(arguments)
            self.assertEqual(raised.exception.code, code, name)
            self.assertIn(printed, out.getvalue())
