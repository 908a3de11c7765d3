"""The administration API: its routes, its guard and its typed problems."""
