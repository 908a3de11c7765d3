"""Rows that the owner of the lease publishes for all daemons, and their readers."""
