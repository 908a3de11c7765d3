"""The settings of one daemon."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class PeerSettings:
    """The fixed address of another entry VM; it goes before the VM list."""

    vm: str
    zone: str
    address: str
    port: int


@dataclass(slots=True, frozen=True)
class Settings:
    """Everything that a daemon learns from its settings file.

    Names ending in ``_s`` are seconds, ``_bytes`` bytes and ``_per_s`` a rate.
    """

    vm: str
    zone: str
    address: str
    platform: str
    caller_port: int = 7100
    admin_port: int = 7101
    peer_port: int = 7102
    peers: tuple[PeerSettings, ...] = ()
    peer_secret: str = ""
    operator_tokens: dict[str, str] = field(default_factory=dict)
    old_setup: str = ""
    log_level: str = "INFO"
    log_json: bool = False
    drain_limit_s: float = 30.0
    unready_before_drain_s: float = 0.5
    vm_list_poll_s: float = 1.0
    config_poll_s: float = 1.0
    heartbeat_s: float = 0.5
    suspect_after_s: float = 2.0
    placer_lease_s: float = 6.0
    task_lease_s: float = 20.0
    worker_sync_s: float = 1.0
    table_timeout_s: float = 2.0
    table_writes_per_s: float = 40.0
    group_commit_s: float = 0.005
    default_deadline_s: float = 10.0
    max_queue_per_class: int = 256
    timeline_events: int = 10000
