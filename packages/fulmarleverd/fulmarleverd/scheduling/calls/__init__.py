"""Calls from the scheduler to other processes."""
