"""Shared by all connections of the program: WebSocket messages and JSON-RPC 2.0, both without I/O."""
