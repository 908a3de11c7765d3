"""Reading and checking of settings and configuration files."""
