"""Tests of holds of workers and tasks."""
