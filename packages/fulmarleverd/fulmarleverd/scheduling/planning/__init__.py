"""What a single plan remembers while it assigns tasks."""
