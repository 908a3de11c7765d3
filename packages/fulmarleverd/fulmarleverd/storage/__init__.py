"""The client of the product's own table, object store and VM list."""
