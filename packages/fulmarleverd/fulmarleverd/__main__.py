"""The entry point of the command ``fulmarleverd``."""

from __future__ import annotations

import signal


def ignore_reloads() -> None:
    """Ignore SIGHUP until the daemon installs its handler.

    The default action would end the process. No reload is missed, because the settings
    are read later in the start.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def main() -> None:
    """Run the daemon, with SIGHUP ignored during its slow imports."""
    ignore_reloads()
    from fulmarleverd.daemon import main as run_daemon

    run_daemon()


if __name__ == "__main__":
    main()
