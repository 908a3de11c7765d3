"""The settings of a daemon and their validation."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any, ClassVar, Literal

from pydantic import BeforeValidator, ConfigDict, Field

from fulmarlever.config.document import Document
from fulmarlever.config.schema import Name
from fulmarlever.config.units import (
    ByteCount,
    PositiveSeconds,
    Seconds,
    option_error,
)
from fulmarlever.config.validation import validate
from fulmarlever.findings import Finding, Findings

MIN_SECRET_LENGTH = 16
LOG_LEVELS = ("TRACE", "DEBUG", "INFO", "WARNING", "ERROR")
HOST_AND_PORT = re.compile(r"^[\w.:\[\]-]+:\d{1,5}$")


def parse_address(value: Any) -> str:
    """Return an IP address in its normal form."""
    try:
        return str(ipaddress.ip_address(value))
    except ValueError:
        raise option_error(f"expected an IP address, not {value!r}") from None


def parse_host_and_port(value: Any) -> str:
    """Check and return a string of the form ``HOST:PORT``."""
    if not isinstance(value, str) or not HOST_AND_PORT.match(value):
        raise option_error(f"expected HOST:PORT, not {value!r}")
    return value


def parse_optional_host_and_port(value: Any) -> str:
    """Check and return a string of the form ``HOST:PORT``, or an empty one for none."""
    return "" if value in ("", None) else parse_host_and_port(value)


def parse_secret(value: Any) -> str:
    """Check and return a secret; the error message does not contain it."""
    if not isinstance(value, str) or len(value) < MIN_SECRET_LENGTH:
        raise option_error(f"a secret has at least {MIN_SECRET_LENGTH} characters")
    return value


def parse_log_level(value: Any) -> str:
    """Check a log level and return it in upper case."""
    level = value.upper() if isinstance(value, str) else value
    if level not in LOG_LEVELS:
        raise option_error(f"expected one of {', '.join(LOG_LEVELS)}, not {value!r}")
    return level


Address = Annotated[str, BeforeValidator(parse_address)]
HostAndPort = Annotated[str, BeforeValidator(parse_host_and_port)]
OptionalHostAndPort = Annotated[str, BeforeValidator(parse_optional_host_and_port)]
Secret = Annotated[str, BeforeValidator(parse_secret)]
LogLevel = Annotated[str, BeforeValidator(parse_log_level)]
Port = Annotated[int, Field(ge=1, le=65535)]
Count = Annotated[int, Field(ge=1)]
NumberOrNone = Annotated[int, Field(ge=0)]
Rate = Annotated[float, Field(gt=0)]
RoutingPolicyName = Literal["two-choices", "least-loaded", "random", "round-robin"]
AdmissionPolicyName = Literal["shares", "none"]


@dataclass(slots=True, frozen=True)
class PeerSettings:
    """The static address of another entry VM, which overrides the VM list."""

    __pydantic_config__: ClassVar[ConfigDict] = ConfigDict(extra="forbid")

    vm: Name
    zone: Name
    address: Address
    port: Port


@dataclass(slots=True, frozen=True)
class Settings:
    """The options in the settings file of a daemon.

    Names that end in ``_s`` are seconds, in ``_bytes`` bytes and in ``_per_s`` rates
    per second.
    """

    __pydantic_config__: ClassVar[ConfigDict] = ConfigDict(extra="forbid")

    vm: Name
    zone: Name
    address: Address
    platform: HostAndPort
    caller_port: Port = 7100
    admin_port: Port = 7101
    peer_port: Port = 7102
    peers: tuple[PeerSettings, ...] = ()
    peer_secret: Secret = field(default="", repr=False)
    operator_tokens: dict[Name, Secret] = field(default_factory=dict, repr=False)
    old_setup: OptionalHostAndPort = ""
    log_level: LogLevel = "INFO"
    log_json: bool = False
    drain_limit_s: PositiveSeconds = 30.0
    unready_before_drain_s: Seconds = 0.5
    vm_list_poll_s: PositiveSeconds = 1.0
    config_poll_s: PositiveSeconds = 1.0
    heartbeat_s: PositiveSeconds = 0.5
    suspect_after_s: PositiveSeconds = 2.0
    placer_lease_s: PositiveSeconds = 6.0
    task_lease_s: PositiveSeconds = 20.0
    worker_sync_s: PositiveSeconds = 1.0
    table_timeout_s: PositiveSeconds = 2.0
    table_writes_per_s: Rate = 40.0
    group_commit_s: Seconds = 0.005
    default_deadline_s: PositiveSeconds = 10.0
    max_queue_per_class: Count = 256
    routing_policy: RoutingPolicyName = "two-choices"
    admission_policy: AdmissionPolicyName = "shares"
    timeline_events: Count = 10000
    admin_max_body_bytes: ByteCount = 4 << 20
    admin_requests_per_s: Rate = 50.0
    memory_bytes: ByteCount = 300 << 20
    max_descriptors: Count = 4100
    max_connections_per_address: NumberOrNone = 0
    max_head_bytes: ByteCount = 16384
    head_timeout_s: PositiveSeconds = 3.0
    body_idle_s: PositiveSeconds = 15.0

    @classmethod
    def from_file(cls, path: str | Path) -> Settings | Findings:
        """Read a settings file; return all findings if it is not valid."""
        try:
            text = Path(path).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as exc:
            message = f"cannot be read: {getattr(exc, 'strerror', None) or exc}"
            return Findings([Finding(str(path), 1, 1, message)])
        return cls.from_text(text, str(path))

    @classmethod
    def from_text(cls, text: str, file_name: str) -> Settings | Findings:
        """Parse the text of a settings file; return all findings if it is not valid."""
        document = Document.from_text(text, file_name)
        if document.findings and document.value is None:
            return Findings(document.findings)
        settings = validate(cls, document.value, document, ())
        if settings is not None:
            for option, message in settings.conflicts():
                document.add((option,), message)
        return Findings(document.findings) if document.findings else settings

    def conflicts(self) -> Iterator[tuple[str, str]]:
        """Yield the name and a message for each option that conflicts with another."""
        yield from self._port_conflicts()
        if self.suspect_after_s < 2 * self.heartbeat_s:
            yield "suspect_after_s", "must be at least twice heartbeat_s"
        if self.task_lease_s < 3 * self.worker_sync_s:
            yield "task_lease_s", "must be at least three times worker_sync_s"
        if self.placer_lease_s < 2 * self.table_timeout_s:
            yield "placer_lease_s", "must be at least twice table_timeout_s"
        if self.drain_limit_s <= self.unready_before_drain_s:
            yield "drain_limit_s", "must be greater than unready_before_drain_s"
        if any(peer.vm == self.vm for peer in self.peers):
            yield "peers", f"contains this VM {self.vm!r}"

    def _port_conflicts(self) -> Iterator[tuple[str, str]]:
        if self.admin_port == self.caller_port:
            yield "admin_port", "is the same as caller_port"
        if self.peer_port in (self.caller_port, self.admin_port):
            yield "peer_port", "is the same as another port"
