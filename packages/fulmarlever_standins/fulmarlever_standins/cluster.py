"""A cluster of separate processes on loopback addresses."""

from __future__ import annotations

import asyncio
import secrets
import sys
import tempfile
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

import yaml

from fulmarlever_standins.client import ControlClient
from fulmarlever_standins.processes import ChildProcess
from fulmarlever_standins.topology import (
    PEER_PORT,
    WORKER_PORT,
    EntryVM,
    Topology,
    WorkerVM,
    reserve_loopback_prefix,
)
from fulmarlever_standins.worker_api import merge_records

STANDINS = [sys.executable, "-m", "fulmarlever_standins"]
DAEMON = [sys.executable, "-m", "fulmarleverd", "--settings"]
STOP_LIMIT_S = 45.0
OPERATOR = "operator"


@dataclass(slots=True)
class BackendTotals:
    """The merged records of every backend server: sums of counts, and maxima.

    The fields are those of ``BackendRecord``. ``by_server`` maps the text
    ``WORKER TASK`` to the record of one server.
    """

    runs: dict[str, int] = field(default_factory=dict)
    keys: dict[str, int] = field(default_factory=dict)
    overruns: int = 0
    max_in_progress: int = 0
    max_connections: int = 0
    last_start: float = 0.0
    last_start_leaving_s: float = 0.0
    by_server: dict[str, dict] = field(default_factory=dict)


class Cluster:
    """The processes of one topology, from start to stop.

    ``settings`` override the settings of every daemon. The logs and files in
    ``directory`` are deleted by ``close``. As a context manager it starts and closes
    the processes.
    """

    def __init__(
        self,
        topology: Topology,
        settings: dict | None = None,
        has_old_setup: bool = False,
    ) -> None:
        self.topology = topology
        self.settings = settings or {}
        self.has_old_setup = has_old_setup
        self.operator_token = secrets.token_hex(16)
        self.peer_secret = secrets.token_hex(16)
        self.control = ControlClient()
        self.processes: dict[str, ChildProcess] = {}
        self._directory = tempfile.TemporaryDirectory(prefix="fulmarlever-")
        self.directory = Path(self._directory.name)

    @classmethod
    def from_zones(
        cls,
        zones: Iterable[str],
        entries: int = 2,
        workers: int = 4,
        settings: dict | None = None,
        has_old_setup: bool = False,
    ) -> Cluster:
        """Build a cluster; ``entries`` and ``workers`` are numbers per zone."""
        topology = Topology.build(
            tuple(zones), entries, workers, reserve_loopback_prefix()
        )
        return cls(topology, settings, has_old_setup)

    async def __aenter__(self) -> Cluster:
        try:
            await self.start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.close()

    async def start(self) -> None:
        """Start every process and wait until all are ready.

        Raise ``ProcessError`` if one ends or is not ready in time, as do the other
        methods that start processes.
        """
        await self.start_platform()
        await self.start_workers()
        await self.register_vms()
        await self.start_daemons()

    async def start_platform(self) -> None:
        """Start the platform, the relay and, if the cluster has one, the old setup."""
        topology = self.topology
        platform = await self._launch(
            "platform", [*STANDINS, "platform", "--listen", topology.platform_address]
        )
        await self.control.wait_ready(platform, topology.platform_address, "/counters")
        await self._start_relay()
        if self.has_old_setup:
            await self._start_old_setup()

    async def start_workers(self) -> None:
        """Start every worker."""
        await asyncio.gather(*(self._start_worker(vm) for vm in self.topology.workers))

    async def register_vms(self) -> None:
        """Put every VM into the platform's VM list."""
        for vm in (*self.topology.entries, *self.topology.workers):
            await self.put_vm(vm.name)

    async def start_daemons(self) -> None:
        """Start every daemon and wait until all are ready."""
        await asyncio.gather(
            *(self.start_daemon(vm.name) for vm in self.topology.entries)
        )

    async def close(self) -> dict[str, int]:
        """Stop every process, daemons first, and return their exit codes."""
        names = [vm.name for vm in self.topology.entries]
        codes = await self._stop_all(name for name in names)
        codes |= await self._stop_all(vm.name for vm in self.topology.workers)
        codes |= await self._stop_all(self.processes)
        await self.control.close()
        self._directory.cleanup()
        return codes

    async def start_daemon(self, name: str) -> None:
        """Start or restart the daemon of an entry VM and wait until it is ready."""
        vm = self.topology.entry(name)
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(self._daemon_settings(vm)))
        process = await self._launch(name, [*DAEMON, str(path)])
        await self.control.wait_ready(process, vm.admin_address, "/readyz")

    async def kill(self, name: str) -> None:
        """Kill the process of a VM with SIGKILL and wait for its end."""
        await self.processes[name].kill()

    def freeze(self, name: str) -> None:
        """Suspend the process of a VM."""
        self.processes[name].freeze()

    def thaw(self, name: str) -> None:
        """Resume the process of a VM."""
        self.processes[name].thaw()

    async def stop(self, name: str, limit_s: float = STOP_LIMIT_S) -> int:
        """Stop the process of a VM gracefully and return its exit code.

        A process that takes longer than ``limit_s`` seconds is killed; its code is -9.
        """
        return await self.processes[name].stop(limit_s)

    async def set_platform_faults(self, **changes: object) -> None:
        """Change the given faults of the platform; see ``PlatformFaults``."""
        await self.control.post(self.topology.platform_address, "/faults", changes)

    async def set_worker_faults(self, name: str, **changes: object) -> None:
        """Change the given faults of one worker; see ``WorkerFaults``."""
        vm = next(vm for vm in self.topology.workers if vm.name == name)
        await self.control.post(vm.control_address, "/faults", changes)

    async def cut(self, zone: str, other_zone: str) -> None:
        """Block the peer connections between two zones, as a network partition does."""
        await self._set_link_mode(zone, other_zone, "hold")

    async def heal(self, zone: str, other_zone: str) -> None:
        """End the partition between two zones."""
        await self._set_link_mode(zone, other_zone, "open")

    async def put_vm(self, name: str, state: str = "live") -> None:
        """Add a VM to the platform's VM list, or change its state there."""
        vms = (*self.topology.entries, *self.topology.workers)
        vm = next(vm for vm in vms if vm.name == name)
        await self.control.post(
            self.topology.platform_address, "/v1/vms", _vm_list_entry(vm, state)
        )

    async def delete_vm(self, name: str) -> None:
        """Remove a VM from the platform's VM list."""
        await self.control.delete(self.topology.platform_address, f"/v1/vms/{name}")

    async def counters(self) -> dict:
        """Return the numbers of calls and rows of the platform."""
        return await self.control.get(self.topology.platform_address, "/counters")

    async def worker_records(self) -> dict[str, dict]:
        """Return the records of the running workers by worker name."""
        running = [
            vm for vm in self.topology.workers if self.processes[vm.name].is_running
        ]
        records = await asyncio.gather(
            *(self.control.get(vm.control_address, "/record") for vm in running)
        )
        return {vm.name: record for vm, record in zip(running, records, strict=True)}

    async def backend_totals(self) -> BackendTotals:
        """Return the merged records of the backend servers of the running workers."""
        by_server = {}
        for name, record in (await self.worker_records()).items():
            vm = next(vm for vm in self.topology.workers if vm.name == name)
            for task in record["services"]:
                path = f"/record/{task}"
                by_server[f"{name} {task}"] = await self.control.get(
                    vm.control_address, path
                )
        merged = merge_records(list(by_server.values()))
        return BackendTotals(by_server=by_server, **merged)

    async def old_setup_record(self) -> dict:
        """Return the ``BackendRecord`` of the old setup as JSON values."""
        return await self.control.get(
            self.topology.old_setup_control_address, "/record"
        )

    def log_tails(self) -> str:
        """Return the last log lines of every daemon."""
        tails = (
            f"--- {vm.name}\n{self.processes[vm.name].log_tail()}"
            for vm in self.topology.entries
            if vm.name in self.processes
        )
        return "\n".join(tails)

    async def _start_relay(self) -> None:
        links = [text for link in self.topology.links() for text in link.arguments]
        if not links:
            return
        arguments = [argument for link in links for argument in ("--link", link)]
        control = self.topology.relay_control_address
        command = [*STANDINS, "relay", "--control", control, *arguments]
        relay = await self._launch("relay", command)
        await self.control.wait_ready(relay, control, "/links")

    async def _start_old_setup(self) -> None:
        listen, control = (
            self.topology.old_setup_address,
            self.topology.old_setup_control_address,
        )
        command = [*STANDINS, "old-setup", "--listen", listen, "--control", control]
        process = await self._launch("old-setup", command)
        await self.control.wait_ready(process, control, "/record")

    async def _start_worker(self, vm: WorkerVM) -> None:
        options = {
            "--listen": vm.control_address,
            "--name": vm.name,
            "--zone": vm.zone,
            "--platform": self.topology.platform_address,
            "--cores": vm.size.cores,
            "--memory-mib": vm.size.memory_mib,
            "--accelerators": vm.size.accelerators,
        }
        arguments = [str(value) for pair in options.items() for value in pair]
        process = await self._launch(vm.name, [*STANDINS, "worker", *arguments])
        await self.control.wait_ready(process, vm.control_address, "/record")

    async def _launch(self, name: str, command: list[str]) -> ChildProcess:
        process = ChildProcess(name, command, self.directory)
        self.processes[name] = process
        await process.start()
        return process

    async def _stop_all(self, names: Iterable[str]) -> dict[str, int]:
        known = [name for name in names if name in self.processes]
        codes = await asyncio.gather(*(self.stop(name) for name in known))
        return dict(zip(known, codes, strict=True))

    async def _set_link_mode(self, zone: str, other_zone: str, mode: str) -> None:
        names = [
            link.name
            for link in self.topology.links()
            if {link.source, link.target.zone} == {zone, other_zone}
        ]
        await self.control.post(
            self.topology.relay_control_address, "/mode", {"links": names, "mode": mode}
        )

    def _daemon_settings(self, vm: EntryVM) -> dict:
        old_setup = (
            {"old_setup": self.topology.old_setup_address} if self.has_old_setup else {}
        )
        common = {
            "vm": vm.name,
            "zone": vm.zone,
            "address": vm.address,
            "platform": self.topology.platform_address,
            "peer_secret": self.peer_secret,
            "operator_tokens": {OPERATOR: self.operator_token},
            "peers": [dict(peer) for peer in self._peers_of(vm)],
        }
        return common | old_setup | self.settings

    def _peers_of(self, vm: EntryVM) -> Iterable[dict]:
        links = {
            link.target.name: link.address
            for link in self.topology.links()
            if link.source == vm.zone
        }
        for peer in self.topology.entries:
            if peer.name != vm.name:
                yield {
                    "vm": peer.name,
                    "zone": peer.zone,
                    "address": links.get(peer.name, peer.address),
                    "port": PEER_PORT,
                }


def _vm_list_entry(vm: EntryVM | WorkerVM, state: str) -> dict:
    is_worker = isinstance(vm, WorkerVM)
    return {
        "name": vm.name,
        "zone": vm.zone,
        "role": "worker" if is_worker else "entry",
        "address": vm.address,
        "port": WORKER_PORT if is_worker else PEER_PORT,
        "state": state,
        "rack": vm.rack if is_worker else "",
        "size": vm.size.to_wire() if is_worker else {},
    }
