"""What every connection of the program shares: WebSocket messages and JSON-RPC 2.0, both without I/O."""
