"""Stand-ins for the platform around the ingresses that a case starts: clients, backends, discovery, processes."""
