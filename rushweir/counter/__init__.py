"""The client of the shared counter. No I/O."""
