"""Stand-ins of the platform, workers and the old setup, with the load tool."""
