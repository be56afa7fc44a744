"""Stand-ins on loopback sockets: dispatch nodes, the node list, the counter, the peers' network, clients."""
