"""The ingress: a sans-I/O core around the decisions, and the asyncio shell that carries out its commands."""
