"""The parts of placement: leases, the task book and the calls to workers."""
