"""The parts of the request path that the services are built from."""
