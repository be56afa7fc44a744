"""Connections to dispatch nodes: pooled, multiplexed, without I/O."""
