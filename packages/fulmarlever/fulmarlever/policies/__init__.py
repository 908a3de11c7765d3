"""Policies for scheduling and routing decisions, registered by name."""
