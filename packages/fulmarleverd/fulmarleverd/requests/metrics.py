"""The metrics of the request path."""

from __future__ import annotations

from prometheus_client import Counter, Gauge, Histogram

LATENCY_BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 5, 30)

REQUESTS = Counter(
    "fulmarlever_requests_total",
    "Requests of callers, by service and status class of the answer.",
    ("service", "status"),
)
REQUEST_SECONDS = Histogram(
    "fulmarlever_request_seconds",
    "Time in seconds from the head of a request to its complete answer, by service.",
    ("service",),
    buckets=LATENCY_BUCKETS_S,
)
BAD_REQUESTS = Counter(
    "fulmarlever_bad_requests_total",
    "Requests that were rejected before admission, by kind of fault.",
    ("fault",),
)
REFUSED = Counter(
    "fulmarlever_refused_total",
    "Requests answered as not run, by service and cause.",
    ("service", "cause"),
)
RETRIES = Counter(
    "fulmarlever_retries_total",
    "Idempotent requests that were sent again, by service.",
    ("service",),
)
FORWARDS = Counter(
    "fulmarlever_forwards_total",
    "Requests sent to another daemon, by service and result.",
    ("service", "result"),
)
BACKEND_ERRORS = Counter(
    "fulmarlever_backend_errors_total",
    "Requests to backend servers without a complete answer, by service and kind.",
    ("service", "kind"),
)
SLOTS_OWNED = Gauge(
    "fulmarlever_slots_owned",
    "Slots of backend servers that this daemon may use, by service.",
    ("service",),
)
SLOTS_IN_USE = Gauge(
    "fulmarlever_slots_in_use",
    "Slots with a request in progress or one that may still run, by service.",
    ("service",),
)
CLAIMS = Counter(
    "fulmarlever_claims_total",
    "Claims on idempotency keys, by service and result.",
    ("service", "result"),
)
