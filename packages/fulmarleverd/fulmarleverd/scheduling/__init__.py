"""Scheduling of jobs made of steps: intake, ownership, placement and recovery."""
