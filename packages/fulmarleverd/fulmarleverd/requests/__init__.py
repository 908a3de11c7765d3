"""The components of the request path from which the services are built."""
