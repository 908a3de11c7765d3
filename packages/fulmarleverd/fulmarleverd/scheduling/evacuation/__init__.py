"""Availability zones in which no run begins."""
