"""Measurements that run in one process, with small fakes at the interfaces."""
