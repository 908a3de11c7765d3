"""The client of the platform: table, object store and VM list."""
