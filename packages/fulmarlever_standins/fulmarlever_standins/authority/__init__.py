"""A stand-in of the Authority platform: store, workers and operator, with faults."""
