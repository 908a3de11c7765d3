"""The commands of ``python -m fulmarlever_standins``, one module each."""
