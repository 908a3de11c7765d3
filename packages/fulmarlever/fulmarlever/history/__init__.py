"""The history of jobs, read from logs, and the causes of their failures."""

# Registers the rules.
from fulmarlever.history import causes as causes
from fulmarlever.history import incarnation_causes as incarnation_causes
from fulmarlever.history.job_history import JobHistory

__all__ = ["JobHistory"]
