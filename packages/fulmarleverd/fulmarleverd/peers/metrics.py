"""Prometheus metrics of the connections between daemons."""

from __future__ import annotations

from prometheus_client import Counter, Gauge

REFUSED_FRAMES = Counter(
    "fulmarlever_peer_refused_frames_total",
    "Refused frames and connections of peers, by fault",
    ["fault"],
)
LATE_ANSWERS = Counter(
    "fulmarlever_peer_late_answers_total",
    "Answers of peers that arrived after their call had ended",
)
CALLS = Counter(
    "fulmarlever_peer_calls_total", "Calls to peers, by outcome", ["outcome"]
)
FRAME_BYTES = Counter(
    "fulmarlever_peer_frame_bytes_total",
    "Bytes of peer frames without TCP and IP headers, by direction",
    ["direction"],
)
FRAMES = Counter(
    "fulmarlever_peer_frames_total", "Peer frames, by direction", ["direction"]
)
PEERS = Gauge("fulmarlever_peers", "Known peers, by state", ["state"])
TIMELINE_EVENTS = Counter(
    "fulmarlever_timeline_events_total", "Events recorded in the timeline"
)
