"""Tests of workers."""
