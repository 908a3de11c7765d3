"""Cancellations of jobs that are not stored, but may still be.

A submission without an answer may take effect seconds later. So the cancellation of an
unknown job leaves a row, without which no job is stored under its id. These lone rows
are few and go after a while.
"""
