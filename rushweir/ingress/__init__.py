"""The ingress: a sans-I/O engine that drives the decisions, and the asyncio shell that carries them out."""
