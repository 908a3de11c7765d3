"""Placement of a zone's tasks on workers, by the daemon that holds its lease."""
