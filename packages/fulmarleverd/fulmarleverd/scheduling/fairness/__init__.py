"""Capacity and order for jobs that get less than their share."""
