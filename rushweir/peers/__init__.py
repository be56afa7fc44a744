"""Messages between ingresses as authenticated datagrams. No I/O."""
