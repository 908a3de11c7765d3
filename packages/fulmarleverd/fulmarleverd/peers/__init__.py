"""The parts of the service ``membership``."""
