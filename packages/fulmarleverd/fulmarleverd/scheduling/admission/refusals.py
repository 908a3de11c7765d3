"""The refusal of a new job, with the figures behind it."""

from __future__ import annotations

from fulmarlever.outcomes import NotRun

STATUS_TOO_MANY_REQUESTS = 429


class AdmissionRefusal(NotRun):
    """A new job is refused, as it would complete too late to be of use.

    ``forecast_s`` is when it would complete, ``limit_s`` its hard deadline, both in
    seconds from now. ``row_age_s`` is the time since the forecast was first read.
    """

    __slots__ = ("forecast_s", "limit_s", "row_age_s")

    def __init__(
        self, retry_after_s: float, forecast_s: float, limit_s: float, row_age_s: float
    ) -> None:
        reason = "the job would complete too late to be of use"
        super().__init__(reason, retry_after_s, STATUS_TOO_MANY_REQUESTS)
        self.forecast_s = forecast_s
        self.limit_s = limit_s
        self.row_age_s = row_age_s

    def log_fields(self) -> dict[str, float]:
        """Return the figures as fields of a log line."""
        return {
            "forecast_s": round(self.forecast_s, 2),
            "limit_s": round(self.limit_s, 2),
            "row_age_s": round(self.row_age_s, 2),
        }
