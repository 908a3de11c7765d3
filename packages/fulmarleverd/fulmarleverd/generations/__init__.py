"""The accepted generations of the configuration: their rows and their exchange."""
