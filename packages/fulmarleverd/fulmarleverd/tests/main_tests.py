from __future__ import annotations

import signal
import subprocess
import sys
import unittest

# Prints a line once SIGHUP is ignored, then sleeps in place of the slow imports.
SLOW_START = (
    "import time; from fulmarleverd.__main__ import ignore_reloads; "
    "ignore_reloads(); print('ready', flush=True); time.sleep(0.5)"
)


class SignalTests(unittest.TestCase):
    def test_sighup_during_the_start_does_not_end_the_process(self):
        """SIGHUP arrived before the daemon had its handler (seed 402 of the soak)."""
        command = [sys.executable, "-c", SLOW_START]
        with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
            process.stdout.readline()
            process.send_signal(signal.SIGHUP)
            self.assertEqual(process.wait(10.0), 0)
