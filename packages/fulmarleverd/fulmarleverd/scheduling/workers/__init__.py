"""The workers, their incarnations and leases, and the calls to them."""
