"""How best-effort tasks disturb serving tasks, and what is done about it."""
