"""HTTP client of the platform: its table, object store and VM list."""
