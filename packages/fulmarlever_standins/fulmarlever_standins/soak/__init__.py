"""A soak test of real daemons: random faults, then a check of invariants."""
