"""Peer-to-peer connections, failure detection and topics of entry VMs' daemons."""
