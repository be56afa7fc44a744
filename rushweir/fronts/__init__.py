"""Client protocols, without I/O: a front parses what a client sends and formats the engine's answers."""
