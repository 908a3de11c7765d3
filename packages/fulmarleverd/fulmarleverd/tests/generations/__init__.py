"""Tests of ``fulmarleverd.generations``."""
