"""Tests of ``fulmarleverd.connections``."""
