"""Configuration, messages and policies that all fulmarlever processes share."""
