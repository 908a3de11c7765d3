"""How long the owner waits between two calls to a worker that runs nothing.

A call to an idle worker only tells that it is still there. In a fleet of thousands
these calls alone would take the owner's processor, and leave nothing for starts.
"""

from __future__ import annotations

import hashlib

# Calls to idle workers that the owner makes in a second.
IDLE_CALLS_PER_S = 500.0
# How long an idle worker holds back its answer.
WAIT_IDLE_S = 2.0
HASH_BYTES = 4
HASH_VALUES = 1 << (8 * HASH_BYTES)


def idle_pause_s(workers: int) -> float:
    """Return the pause in seconds after a call to an idle worker of a fleet."""
    return max(0.0, workers / IDLE_CALLS_PER_S - WAIT_IDLE_S)


def first_pause_s(worker_id: str, workers: int) -> float:
    """Return the pause in seconds before the first call to an idle worker.

    Without it, all workers would be called at the same moment after a takeover, and
    again after each pause. It is drawn from the worker's id.
    """
    if not idle_pause_s(workers):
        return 0.0
    digest = hashlib.blake2b(worker_id.encode(), digest_size=HASH_BYTES).digest()
    share = int.from_bytes(digest) / HASH_VALUES
    return share * workers / IDLE_CALLS_PER_S
