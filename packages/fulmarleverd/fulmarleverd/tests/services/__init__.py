"""Tests of ``fulmarleverd.services``."""
