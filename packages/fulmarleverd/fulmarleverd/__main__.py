"""The binary ``fulmarleverd``."""

from __future__ import annotations

import signal


def ignore_reloads() -> None:
    """Let SIGHUP do nothing until the daemon has a handler for it.

    By default it would end the process. Nothing is lost: settings are read later.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def main() -> None:
    """Run the daemon. The import takes a while, so signals come first."""
    ignore_reloads()
    from fulmarleverd.daemon import main as run_daemon

    run_daemon()


if __name__ == "__main__":
    main()
