"""Decisions that have more than one implementation, held in registries."""
