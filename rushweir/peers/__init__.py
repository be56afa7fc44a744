"""Ingress to ingress: authenticated datagrams. No I/O."""
