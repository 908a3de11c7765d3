"""The VM list of the simulated platform, with past states for delayed reads."""

from __future__ import annotations

from fulmarlever.clock import Clock

HISTORY_S = 600.0


class VMList:
    """The VMs and their past states of at least ``HISTORY_S`` seconds."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._states: list[tuple[float, dict[str, dict]]] = [(float("-inf"), {})]

    def put(self, vm: dict) -> None:
        """Add or replace one VM, a JSON object with the key ``name``."""
        self._append({**self._states[-1][1], vm["name"]: vm})

    def remove(self, name: str) -> None:
        """Remove one VM, if it is in the list."""
        remaining = {key: vm for key, vm in self._states[-1][1].items() if key != name}
        self._append(remaining)

    def read(self, lag_s: float) -> list[dict]:
        """Return the list as it was ``lag_s`` seconds ago."""
        time = self.clock.monotonic() - lag_s
        state = next(state for at, state in reversed(self._states) if at <= time)
        return list(state.values())

    def _append(self, state: dict[str, dict]) -> None:
        now = self.clock.monotonic()
        self._states.append((now, state))
        while len(self._states) > 2 and self._states[1][0] < now - HISTORY_S:
            del self._states[0]
            self._states[0] = (float("-inf"), self._states[0][1])
