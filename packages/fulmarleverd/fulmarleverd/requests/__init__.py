"""The components of the request path from which the services are built.

A slot is the right to have one request in progress on a backend server. The daemons of
a zone divide the slots of each server among themselves, so that no server gets more
requests at a time than it has slots. A request without a free slot waits for one or is
forwarded to a peer, the daemon of another entry VM.
"""
