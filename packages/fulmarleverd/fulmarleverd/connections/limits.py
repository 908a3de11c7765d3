"""The limits on callers' connections and their derivation from a VM's limits."""

from __future__ import annotations

from dataclasses import dataclass

MB = 1 << 20

# A daemon uses 56 MB at rest, and about 80 MB when it schedules a large deployment.
DAEMON_BYTES = 80 * MB
# A connection without a request in aiohttp: its transport, protocol, parser and task.
# Its Python objects use 4.4 KB; the rest is for the allocator and the transport.
CONNECTION_BYTES = 8192
# The daemon's memory that is left for callers is divided into these shares. The rest
# is for fragmentation, and for the one body that is decoded at a time: a decoded list
# of empty objects uses 24 bytes per byte of JSON.
BUFFER_SHARE = 0.4
CONNECTION_SHARE = 0.2
# Requests of the largest default size fit even in a VM with less memory than needed.
MIN_BUFFERED_BYTES = 2 * MB
MIN_CONNECTIONS = 16
# The VM has these descriptors for files only. Half of the others are left to the
# store, to workers and to the readiness address. Workers take more if they are more, a
# connection each and another one during a command.
FILE_DESCRIPTORS = 200
DESCRIPTOR_SHARE = 0.5


def worker_connections(descriptors: int) -> int:
    """Return how many connections to workers are kept open, of a VM's descriptors."""
    return int((descriptors - FILE_DESCRIPTORS) * (1.0 - DESCRIPTOR_SHARE))


@dataclass(slots=True, frozen=True)
class ConnectionLimits:
    """The limits of one connection and of all of them.

    Names that end in ``_s`` are seconds and those that end in ``_bytes`` are bytes.
    ``head_s`` is counted from the first byte of a head to its end. A body may pause for
    ``idle_s``. In addition to this time it has as long as its received bytes take at
    ``body_bytes_per_s``. ``empty_line_bytes`` may precede a request line.

    A body may have ``free_chunks`` and one more for each ``bytes_per_chunk`` of its
    bytes. All connections share ``spare_chunks`` more, which suffice for one body of
    the default size in chunks of one byte and come back at ``spare_chunks_per_s``.
    ``connections_per_address`` is 0 for no limit.
    """

    head_bytes: int = 16384
    head_fields: int = 256
    head_s: float = 3.0
    empty_line_bytes: int = 64
    body_bytes: int = 262144
    idle_s: float = 15.0
    body_bytes_per_s: int = 1024
    chunk_line_bytes: int = 256
    trailer_bytes: int = 4096
    free_chunks: int = 1024
    bytes_per_chunk: int = 64
    spare_chunks: int = 262144
    spare_chunks_per_s: int = 50_000
    connections: int = 1950
    connections_per_address: int = 0
    buffered_bytes: int = 48 * MB

    @classmethod
    def from_settings(
        cls,
        memory_bytes: int,
        descriptors: int,
        connections_per_address: int = 0,
        **limits: float,
    ) -> ConnectionLimits:
        """Derive the limits of all connections from those of the VM.

        ``limits`` are values of other fields.
        """
        spare_bytes = max(0, memory_bytes - DAEMON_BYTES)
        by_memory = int(spare_bytes * CONNECTION_SHARE) // CONNECTION_BYTES
        by_descriptors = int((descriptors - FILE_DESCRIPTORS) * DESCRIPTOR_SHARE)
        return cls(
            connections=max(MIN_CONNECTIONS, min(by_memory, by_descriptors)),
            connections_per_address=connections_per_address,
            buffered_bytes=max(MIN_BUFFERED_BYTES, int(spare_bytes * BUFFER_SHARE)),
            **limits,
        )
