"""Decoding of the process's settings file into the scheduler's settings."""

from __future__ import annotations

import json
import os
from dataclasses import fields
from pathlib import Path

from fulmarlever.outcomes import Failure
from fulmarleverd.platform.json_values import FORMAT_ERRORS, require_number
from fulmarleverd.scheduling.specs import (
    DEFAULT_ROW_BYTES,
    UNKNOWN_LINK_MBPS,
    Bounds,
    SchedulingSettings,
)

SETTINGS_VARIABLE = "FULMARLEVER_BOOT"


# A graceful stop ends this long before the platform kills the process.
KILL_MARGIN_S = 1.0
MIN_DRAIN_S = 0.5
DEFAULT_MEMORY_MB = 300
# The fewest descriptors of a VM, assumed if the settings do not tell them.
DEFAULT_MAX_FDS = 4100


class BadSettings(Failure):
    """The settings file is missing, unreadable or incomplete."""

    __slots__ = ()


def read_settings() -> SchedulingSettings | BadSettings:
    """Read the settings file at the path in ``SETTINGS_VARIABLE``."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        return BadSettings(f"the environment variable {SETTINGS_VARIABLE} is not set")
    try:
        return parse_settings(json.loads(Path(path).read_bytes()))
    except (OSError, ValueError) as exc:
        return BadSettings(f"{path}: {type(exc).__name__}: {exc}")


def parse_settings(data: object) -> SchedulingSettings | BadSettings:
    """Decode the settings; unknown fields are ignored."""
    try:
        return _parse_fields(data)
    except KeyError as exc:
        return BadSettings(f"the settings have no field {exc.args[0]!r}")
    except (TypeError, ValueError, AttributeError) as exc:
        return BadSettings(f"the settings are malformed: {exc}")


def _parse_fields(data: dict) -> SchedulingSettings:
    bounds = parse_bounds(data.get("bounds", {}))
    addresses = data["listenAddrs"]
    limits = data.get("limits", {})
    return SchedulingSettings(
        vm=data["nodeName"],
        zone=data["zone"],
        address=data["ip"],
        caller_address=addresses["front"],
        ready_address=addresses["readyAddr"],
        metrics_port=int(data["portRange"][0]),
        store_address=data["platform"]["address"],
        admission_address=data.get("advice") or "",
        memory_mb=_positive(limits, "memoryMb", DEFAULT_MEMORY_MB),
        # The share of a core, times the core's speed relative to a standard core.
        cores=float(limits.get("cpuShare", 1.0)) * float(limits.get("cores", 1)),
        link_mbps=float(limits.get("linkMbps") or UNKNOWN_LINK_MBPS),
        row_bytes=int(data["platform"].get("rowBytes") or DEFAULT_ROW_BYTES),
        bounds=bounds,
        drain_limit_s=max(MIN_DRAIN_S, bounds.grace_s - KILL_MARGIN_S),
        max_fds=_positive(limits, "maxFds", DEFAULT_MAX_FDS),
        connections_per_address=_positive(limits, "maxConnectionsPerAddress", 0),
        has_admission_forecast=data.get("admissionForecast") is True,
        has_learned_run_times=data.get("learnedRunTimes") is True,
    )


def find_changes(old: SchedulingSettings, new: SchedulingSettings) -> tuple[str, ...]:
    """Return the names of the settings with different values."""
    return tuple(
        option.name
        for option in fields(new)
        if getattr(old, option.name) != getattr(new, option.name)
    )


def parse_bounds(data: dict) -> Bounds:
    """Decode the time limits and factors; missing ones keep their defaults."""
    default = Bounds()
    return Bounds(
        # The longest lease of running tasks that workers accept.
        worker_lease_s=_seconds(data, "holdMaxMs", default.worker_lease_s),
        stop_s=_seconds(data, "stopTimeoutMs", default.stop_s),
        cancel_s=_seconds(data, "cancel_ms", default.cancel_s),
        drain_s=_seconds(data, "drainMs", default.drain_s),
        grace_s=float(data.get("graceS", default.grace_s)),
        config_apply_s=_seconds(data, "configApplyMs", default.config_apply_s),
        status_kept_s=float(data.get("status_s", default.status_kept_s)),
        harm_s=_seconds(data, "harmMs", default.harm_s),
        early_s=_seconds(data, "early_ms", default.early_s),
        remote_factor=float(data.get("remoteFactor", default.remote_factor)),
        gang_wait_s=_seconds(data, "gangTimeoutMs", default.gang_wait_s),
        evacuate_s=_seconds(data, "evacuateMs", default.evacuate_s),
    )


def _seconds(data: dict, name: str, default_s: float) -> float:
    return float(data[name]) / 1000.0 if name in data else default_s


def _positive(limits: dict, name: str, default: int) -> int:
    """Return a limit, or its default if it is missing, not a number or not over 0."""
    try:
        return int(require_number(limits.get(name, 0))) or default
    except FORMAT_ERRORS:
        return default
