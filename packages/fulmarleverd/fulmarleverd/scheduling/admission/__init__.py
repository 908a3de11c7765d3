"""Admission control: refuses new jobs that would complete too late to be of use.

The owner publishes a forecast in a row of the store. Each daemon judges new jobs by it,
and tells refused callers when to return.
"""
