"""Prometheus metrics of the scheduler. Each label has a bounded set of values."""

from __future__ import annotations

from prometheus_client import Counter, Gauge, Histogram

LATENCY_BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)

REQUESTS = Counter(
    "fulmarlever_job_requests_total", "Calls of callers.", ["call", "status"]
)
REQUEST_SECONDS = Histogram(
    "fulmarlever_job_request_seconds",
    "Time to answer a caller.",
    ["call"],
    buckets=LATENCY_BUCKETS_S,
)
STORE_CALLS = Counter(
    "fulmarlever_store_calls_total", "Calls to the store.", ["call", "outcome"]
)
COMMITS = Counter(
    "fulmarlever_commits_total", "Transactions of the scheduler.", ["outcome"]
)
COMMIT_SECONDS = Histogram(
    "fulmarlever_commit_seconds",
    "Time of a transaction.",
    buckets=LATENCY_BUCKETS_S,
)
PENDING_REFRESHES = Counter(
    "fulmarlever_pending_refreshes_total",
    "How the number of waiting jobs for callers was found.",
    ["source"],
)
PENDING_AGE_SECONDS = Histogram(
    "fulmarlever_pending_age_seconds",
    "Age of the number of waiting jobs when this daemon had found it.",
    buckets=LATENCY_BUCKETS_S,
)
STARTS = Counter("fulmarlever_starts_total", "Orders to start a run.", ["outcome"])
ENDS = Counter("fulmarlever_ends_total", "Runs that ended.", ["how"])
CRASHES_SUSPECTED = Counter(
    "fulmarlever_crashes_suspected_total",
    "Crashes of workers that tasks are suspected of, one for each suspect.",
)
FIRST_START_SECONDS = Histogram(
    "fulmarlever_first_start_seconds",
    "Time from the acceptance of a job to its first running task.",
    buckets=LATENCY_BUCKETS_S,
)
RUN_TIME_RATIO = Gauge(
    "fulmarlever_run_time_ratio",
    "Median ratio of actual to declared run time.",
    ["queue", "step"],
)
RUN_TIME_SECONDS = Gauge(
    "fulmarlever_run_time_seconds",
    "Run time of a task: mean of the declared ones, median of the actual ones.",
    ["source", "queue", "step"],
)
WAITING_TASKS = Gauge(
    "fulmarlever_waiting_tasks", "Tasks that wait for a worker.", ["kind"]
)
JOBS_OPEN = Gauge("fulmarlever_jobs_open", "Accepted jobs that have not ended.")
LONE_CANCELS = Gauge(
    "fulmarlever_lone_cancels",
    "Cancellations of jobs that are not stored, which the owner remembers.",
)
WORKERS = Gauge("fulmarlever_workers", "Workers by state.", ["state"])
EVACUATED_RUNS = Gauge(
    "fulmarlever_evacuated_zone_runs",
    "Runs in progress on the workers of a zone that is evacuated.",
    ["zone"],
)
LEASE_HELD = Gauge("fulmarlever_lease_held", "Whether this daemon schedules.")
LOOP_DELAY_SECONDS = Gauge(
    "fulmarlever_event_loop_delay_seconds",
    "Recent delay of the event loop of this daemon.",
)
STARTS_LIMIT = Gauge(
    "fulmarlever_starts_limit_per_second",
    "Starts per second that the owner's VM is taken to carry.",
)
LOG_LINES_DROPPED = Gauge(
    "fulmarlever_log_lines_dropped",
    "Log lines left out because the writer lagged.",
)
ADMISSION_FORECAST_SECONDS = Gauge(
    "fulmarlever_admission_forecast_seconds",
    "Time in which the waiting work of a priority is completed; none while none waits.",
    ["priority"],
)
ADMISSION_REFUSALS = Counter(
    "fulmarlever_admission_refusals_total", "New jobs that were refused.", ["reason"]
)
ADMISSION_EXEMPTIONS = Counter(
    "fulmarlever_admission_exemptions_total",
    "New jobs that were let in though their forecast is too late.",
    ["rule"],
)
