"""What is stored in the platform's store, and how it is written and followed."""
