"""The command ``report``."""

from __future__ import annotations

import asyncio
import csv
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from fulmarlever.outcomes import Unavailable, failed
from fulmarlever_cli.arguments import Report
from fulmarlever_cli.context import Context
from fulmarlever_cli.daemons import fetch_daemon_statuses
from fulmarlever_cli.display import format_table
from fulmarlever_cli.service_metrics import ServiceMetrics, sum_reports

QUANTILES = {"p50": 0.5, "p99": 0.99, "p99.9": 0.999}
SERVICE_HEADINGS = (
    "SERVICE",
    "TEAM",
    "TARGET",
    *(name.upper() for name in QUANTILES),
    "ANSWERS",
    "NOT RUN",
    "SHARE",
    "GUARANTEED",
)
TEAM_HEADINGS = ("TEAM", "JOBS", "DONE", "FAILED", "CANCELLED", "OTHER")
FINAL_STATES = ("done", "failed", "cancelled")


async def report(args: Report, context: Context) -> int:
    """Show latency quantiles, shares of answers, ended batch tasks and evictions.

    Latencies, answers and shares cover the run time of each daemon, or only the next
    ``args.interval`` seconds. Evictions and tasks are counted from the beginning.
    """
    reports, unreachable = await _read_reports(context)
    if not reports:
        reason = next(iter(unreachable.values()), "no admin address is given")
        return context.display.show_failure(Unavailable(reason))
    services = sum_reports(reports)
    if args.interval:
        await asyncio.sleep(args.interval)
        later, unreachable = await _read_reports(context)
        services = _subtract_earlier(services, sum_reports(later))
    job_list = await context.client.get("/v1/jobs")
    jobs = [] if failed(job_list) else job_list["jobs"]
    if args.plot is not None:
        _write_csv(args.plot, services)
    data = _as_data(services, jobs, _sum_evictions(reports), unreachable)
    return context.display.show_result(data, _as_text(data))


async def _read_reports(
    context: Context,
) -> tuple[list[dict[str, Any]], dict[str, str]]:
    daemons, unreachable = await fetch_daemon_statuses(context.client)
    addresses = [daemon["admin"] for daemon in daemons]
    answers = await asyncio.gather(
        *(context.client.get_from(address, "/v1/report") for address in addresses)
    )
    for address, answer in zip(addresses, answers, strict=True):
        if failed(answer):
            unreachable[address] = answer.reason
    return [answer for answer in answers if not failed(answer)], unreachable


def _subtract_earlier(
    earlier: dict[str, ServiceMetrics], later: dict[str, ServiceMetrics]
) -> dict[str, ServiceMetrics]:
    for name, metrics in later.items():
        if name in earlier:
            metrics.subtract(earlier[name])
    return later


def _sum_evictions(reports: list[dict[str, Any]]) -> int | None:
    """Return the number of evictions, or ``None`` if no daemon counts them."""
    counts = [item["evictions"] for item in reports if item["evictions"] is not None]
    return int(sum(counts)) if counts else None


def _as_data(
    services: dict[str, ServiceMetrics],
    jobs: list[dict[str, Any]],
    evictions: int | None,
    unreachable: dict[str, str],
) -> dict[str, Any]:
    total = sum(metrics.total for metrics in services.values())
    return {
        "services": [_service_data(services[name], total) for name in sorted(services)],
        "teams": list(_team_data(jobs)),
        "evictions": evictions,
        "unreachable": unreachable,
    }


def _service_data(metrics: ServiceMetrics, total: int) -> dict[str, Any]:
    quantiles = {name: metrics.quantile_s(q) for name, q in QUANTILES.items()}
    return {
        "name": metrics.name,
        "team": metrics.team,
        "target_s": metrics.target_s,
        "latency_s": quantiles,
        "answers": metrics.total,
        "by_status": dict(metrics.answered),
        "not_run": metrics.total_refused,
        "not_run_by_cause": dict(metrics.refused),
        "share": metrics.total / total if total else None,
        "guaranteed_share": metrics.guaranteed,
    }


def _team_data(jobs: list[dict[str, Any]]) -> Iterator[dict[str, Any]]:
    for team in sorted({job["team"] for job in jobs}):
        team_jobs = [job for job in jobs if job["team"] == team]
        tasks = sum((Counter(job["tasks"]) for job in team_jobs), Counter())
        counts = {state: tasks.pop(state, 0) for state in FINAL_STATES}
        other = sum(tasks.values())
        yield {
            "team": team,
            "jobs": len(team_jobs),
            "tasks": {**counts, "other": other},
        }


def _as_text(data: dict[str, Any]) -> str:
    services = [
        (
            item["name"],
            item["team"],
            _format_milliseconds(item["target_s"]),
            *map(_format_milliseconds, item["latency_s"].values()),
            item["answers"],
            item["not_run"],
            _format_percent(item["share"]),
            _format_percent(item["guaranteed_share"]),
        )
        for item in data["services"]
    ]
    teams = [
        (item["team"], item["jobs"], *item["tasks"].values()) for item in data["teams"]
    ]
    unreachable = data["unreachable"].items()
    return "\n".join(
        [
            format_table(SERVICE_HEADINGS, services),
            "",
            format_table(TEAM_HEADINGS, teams),
            "",
            f"evictions: {_format_count(data['evictions'])}",
            *(f"not reached: {address}: {reason}" for address, reason in unreachable),
        ]
    )


def _format_milliseconds(seconds: float | None) -> str:
    return "-" if seconds is None else f"{seconds * 1000:.3g}ms"


def _format_count(number: int | None) -> str:
    return "not counted" if number is None else str(number)


def _format_percent(fraction: float | None) -> str:
    return "-" if fraction is None else f"{fraction:.0%}"


def _write_csv(path: Path, services: dict[str, ServiceMetrics]) -> None:
    """Write cumulative latency distributions as CSV, one row for each bucket.

    Latencies are in seconds.
    """
    with path.open("w", newline="", encoding="utf-8") as file:
        writer = csv.writer(file)
        writer.writerow(("service", "team", "latency_s", "answers_up_to"))
        for name in sorted(services):
            metrics = services[name]
            for bound in sorted(metrics.buckets):
                row = (name, metrics.team, bound, int(metrics.buckets[bound]))
                writer.writerow(row)
