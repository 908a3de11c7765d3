"""The administration API: routes, access control and problem answers."""
