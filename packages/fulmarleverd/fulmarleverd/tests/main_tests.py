from __future__ import annotations

import signal
import subprocess
import sys
import unittest

# Prints a line once signals are set up, then waits as a slow import does.
SLOW_START = (
    "import time; from fulmarleverd.__main__ import ignore_reloads; "
    "ignore_reloads(); print('ready', flush=True); time.sleep(0.5)"
)


class SignalTests(unittest.TestCase):
    def test_a_reload_during_the_start_does_not_end_the_process(self):
        """Seed 402 of the soak: SIGHUP came before the daemon had its handler."""
        command = [sys.executable, "-c", SLOW_START]
        with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
            process.stdout.readline()
            process.send_signal(signal.SIGHUP)
            self.assertEqual(process.wait(10.0), 0)
