"""The scheduler's daemon, which runs on every entry VM."""
