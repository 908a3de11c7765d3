"""Tests of daemons whose callers don't complete their requests."""
