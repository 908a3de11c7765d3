"""Jobs, their occurrences, steps, tasks and runs."""
