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
from fulmarlever_cli.display import table
from fulmarlever_cli.measures import ServiceMeasures, add_up

QUANTILES = {"p50": 0.5, "p99": 0.99, "p99.9": 0.999}
SERVICE_HEAD = (
    "SERVICE",
    "TEAM",
    "TARGET",
    *(name.upper() for name in QUANTILES),
    "ANSWERS",
    "NOT RUN",
    "SHARE",
    "GUARANTEED",
)
TEAM_HEAD = ("TEAM", "JOBS", "DONE", "FAILED", "CANCELLED", "OTHER")
ENDED = ("done", "failed", "cancelled")


async def report(args: Report, context: Context) -> int:
    """Show tail latency, shares, batch throughput and evictions."""
    reports, missing = await _read_reports(context)
    if not reports:
        reason = next(iter(missing.values()), "no admin address is given")
        return context.display.fail(Unavailable(reason))
    services = add_up(reports)
    if args.interval:
        await asyncio.sleep(args.interval)
        later, missing = await _read_reports(context)
        services = _since(services, add_up(later))
    listing = await context.client.get("/v1/jobs")
    jobs = [] if failed(listing) else listing["jobs"]
    if args.plot is not None:
        _write_plot(args.plot, services)
    data = _as_data(services, jobs, _evictions(reports), missing)
    return context.display.show(data, _as_text(data))


async def _read_reports(
    context: Context,
) -> tuple[list[dict[str, Any]], dict[str, str]]:
    daemons, missing = await fetch_daemon_statuses(context.client)
    addresses = [daemon["admin"] for daemon in daemons]
    answers = await asyncio.gather(
        *(context.client.get_from(address, "/v1/report") for address in addresses)
    )
    for address, answer in zip(addresses, answers, strict=True):
        if failed(answer):
            missing[address] = answer.reason
    return [answer for answer in answers if not failed(answer)], missing


def _since(
    earlier: dict[str, ServiceMeasures], later: dict[str, ServiceMeasures]
) -> dict[str, ServiceMeasures]:
    for name, measures in later.items():
        if name in earlier:
            measures.take_away(earlier[name])
    return later


def _evictions(reports: list[dict[str, Any]]) -> int | None:
    """Return the evictions that the daemons counted, ``None`` if none counts them."""
    counts = [item["evictions"] for item in reports if item["evictions"] is not None]
    return int(sum(counts)) if counts else None


def _as_data(
    services: dict[str, ServiceMeasures],
    jobs: list[dict[str, Any]],
    evictions: int | None,
    missing: dict[str, str],
) -> dict[str, Any]:
    total = sum(measures.total for measures in services.values())
    return {
        "services": [_service_data(services[name], total) for name in sorted(services)],
        "teams": list(_team_data(jobs)),
        "evictions": evictions,
        "unreachable": missing,
    }


def _service_data(measures: ServiceMeasures, total: int) -> dict[str, Any]:
    quantiles = {name: measures.quantile_s(q) for name, q in QUANTILES.items()}
    return {
        "name": measures.name,
        "team": measures.team,
        "target_s": measures.target_s,
        "latency_s": quantiles,
        "answers": measures.total,
        "by_status": dict(measures.answered),
        "not_run": measures.total_refused,
        "not_run_by_cause": dict(measures.refused),
        "share": measures.total / total if total else None,
        "guaranteed_share": measures.guaranteed,
    }


def _team_data(jobs: list[dict[str, Any]]) -> Iterator[dict[str, Any]]:
    for team in sorted({job["team"] for job in jobs}):
        own = [job for job in jobs if job["team"] == team]
        tasks = sum((Counter(job["tasks"]) for job in own), Counter())
        ended = {state: tasks.pop(state, 0) for state in ENDED}
        other = sum(tasks.values())
        yield {"team": team, "jobs": len(own), "tasks": {**ended, "other": other}}


def _as_text(data: dict[str, Any]) -> str:
    services = [
        (
            item["name"],
            item["team"],
            _milliseconds(item["target_s"]),
            *map(_milliseconds, item["latency_s"].values()),
            item["answers"],
            item["not_run"],
            _percent(item["share"]),
            _percent(item["guaranteed_share"]),
        )
        for item in data["services"]
    ]
    teams = [
        (item["team"], item["jobs"], *item["tasks"].values()) for item in data["teams"]
    ]
    missing = data["unreachable"].items()
    return "\n".join(
        [
            table(SERVICE_HEAD, services),
            "",
            table(TEAM_HEAD, teams),
            "",
            f"evictions: {_count(data['evictions'])}",
            *(f"not reached: {address}: {why}" for address, why in missing),
        ]
    )


def _milliseconds(seconds: float | None) -> str:
    return "-" if seconds is None else f"{seconds * 1000:.3g}ms"


def _count(number: int | None) -> str:
    return "not counted" if number is None else str(number)


def _percent(fraction: float | None) -> str:
    return "-" if fraction is None else f"{fraction:.0%}"


def _write_plot(path: Path, services: dict[str, ServiceMeasures]) -> None:
    """Write the cumulative distribution of latencies, one row for each bucket."""
    with path.open("w", newline="", encoding="utf-8") as file:
        writer = csv.writer(file)
        writer.writerow(("service", "team", "latency_s", "answers_up_to"))
        for name in sorted(services):
            measures = services[name]
            for bound in sorted(measures.buckets):
                row = (name, measures.team, bound, int(measures.buckets[bound]))
                writer.writerow(row)
