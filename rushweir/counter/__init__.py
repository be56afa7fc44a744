"""The shared counter, as an ingress calls it. No I/O."""
