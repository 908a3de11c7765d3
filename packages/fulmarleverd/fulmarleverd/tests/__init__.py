"""Tests of ``fulmarleverd``."""
