"""A stand-in for the Authority platform: store, workers and network, with faults."""
