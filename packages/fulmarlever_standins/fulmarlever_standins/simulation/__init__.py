"""Random jobs and faults in virtual time, checked by what workers and callers see."""
