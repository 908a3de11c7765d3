"""Tests of the scheduler against the stand-in for the Authority platform."""
