"""Storage of the configuration's accepted generations and exchange between daemons."""
