"""Limits on callers' connections, whose clients are not under the operator's control.

Both servers for callers use them, see ``docs/design/connection-limits.md``.
"""
