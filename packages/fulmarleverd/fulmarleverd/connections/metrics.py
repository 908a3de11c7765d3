"""The metrics of callers' connections."""

from __future__ import annotations

from prometheus_client import Counter, Gauge

REFUSED_CONNECTIONS = Counter(
    "fulmarlever_connections_refused_total",
    "Callers' connections that were refused or closed, by reason.",
    ("reason",),
)
OPEN_CONNECTIONS = Gauge("fulmarlever_connections_open", "Open connections of callers.")
BUFFERED_BYTES = Gauge(
    "fulmarlever_buffered_request_bytes",
    "Bytes that are reserved for callers' requests.",
)
