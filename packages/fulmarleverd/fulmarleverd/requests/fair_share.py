"""The fair distribution of a backend server's slots among the daemons of a zone."""

from __future__ import annotations

from collections.abc import Sequence

import xxhash


def fair_share(server: str, slots: int, vms: Sequence[str], vm: str) -> int:
    """Return how many slots of a server one VM should own.

    Every VM gets the same number; the remainder goes one by one to the VMs with the
    lowest rendezvous hash, so that each server favours other VMs. The shares of all
    ``vms`` add up to ``slots``. A VM that is not among them gets none.
    """
    if vm not in vms:
        return 0
    each, rest = divmod(slots, len(vms))
    if rest == 0:
        return each
    ranked = sorted(vms, key=lambda name: rendezvous_hash(server, name))
    return each + (ranked.index(vm) < rest)


def rendezvous_hash(server: str, vm: str) -> int:
    """Return the sort key of a VM for one server, the same in every process."""
    return xxhash.xxh3_64_intdigest(f"{server}|{vm}".encode())
