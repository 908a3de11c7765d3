"""Measurements that give the figures of the pages."""
