"""Measurements of daemons and of placement, each run as a module."""
