"""Tests of the simulation in virtual time."""
