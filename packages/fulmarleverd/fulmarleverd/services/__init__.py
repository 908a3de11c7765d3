"""The services that the kernel runs; each module registers the ones it defines."""
