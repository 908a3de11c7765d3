"""Child processes with log files, which end with their parent."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import os
import signal
from pathlib import Path

from fulmarlever.exceptions import FulmarleverError

KILL_AFTER_S = 5.0
LOG_TAIL_LINES = 15
PR_SET_PDEATHSIG = 1


class ProcessError(FulmarleverError):
    """A child process failed, or a condition on the processes was not met in time."""


def _die_with_parent() -> None:
    """Make the kernel kill this process when its parent dies."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class ChildProcess:
    """A command that can be restarted, with a log file ``NAME.log`` in ``directory``.

    ``variables`` are added to the environment variables of this process.
    """

    def __init__(
        self,
        name: str,
        command: list[str],
        directory: Path,
        variables: dict[str, str] | None = None,
    ) -> None:
        self.name = name
        self._env = {**os.environ, **(variables or {})}
        self.command = command
        self.log_path = directory / f"{name}.log"
        self.is_frozen = False
        self._process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """Return the id of the process that was started last."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Return whether the process was started and has not ended."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Start the command; its output is appended to the log file."""
        with self.log_path.open("ab") as output:
            self._process = await asyncio.create_subprocess_exec(
                *self.command,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=self._env,
                start_new_session=True,
                preexec_fn=_die_with_parent,
            )

    async def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its end."""
        self._send(signal.SIGKILL)
        await self._process.wait()
        self.is_frozen = False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it has not ended."""
        self._send(number)

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP."""
        self._send(signal.SIGSTOP)
        self.is_frozen = True

    def thaw(self) -> None:
        """Resume the process with SIGCONT."""
        self._send(signal.SIGCONT)
        self.is_frozen = False

    async def stop(self, limit_s: float = KILL_AFTER_S) -> int:
        """Send SIGTERM, wait for the end of the process and return its exit code.

        A suspended process is resumed first. One that takes longer than ``limit_s``
        seconds is killed; its exit code is -9. The code is 0 if it was never started.
        """
        if not self.is_running:
            return self._process.returncode if self._process else 0
        if self.is_frozen:
            self.thaw()
        self._send(signal.SIGTERM)
        try:
            return await asyncio.wait_for(self._process.wait(), limit_s)
        except TimeoutError:
            await self.kill()
            return self._process.returncode

    def log_tail(self) -> str:
        """Return the last lines of the log file, empty if there is none."""
        if not self.log_path.exists():
            return ""
        lines = self.log_path.read_text(errors="replace").splitlines()
        return "\n".join(lines[-LOG_TAIL_LINES:])

    def _send(self, number: signal.Signals) -> None:
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)
