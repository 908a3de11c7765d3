"""Which daemon schedules, and for how long."""
