from __future__ import annotations

import subprocess
import sys
import unittest
from pathlib import Path

EXAMPLE = Path(__file__).parents[4] / "examples" / "portland.yaml"
LIMIT_S = 120


class DemoTests(unittest.TestCase):
    def test_demonstration_on_real_processes_passes_all_checks(self):
        command = [sys.executable, "-m", "fulmarlever_standins", "demo", str(EXAMPLE)]
        done = subprocess.run(command, capture_output=True, text=True, timeout=LIMIT_S)
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
        self.assertIn("all checks passed", done.stdout)
