"""Taking in jobs: what callers ask of any daemon."""
