"""What keeps workers and tasks from being planned, why, and since when."""
