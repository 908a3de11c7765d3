"""The command-line interface for operators and callers."""
