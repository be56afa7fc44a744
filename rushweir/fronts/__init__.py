"""Client protocols, without I/O. A front understands what a client says and words the engine's answers."""
