"""Discovery of nodes: sources of the node list behind one interface, and the copy saved on disk. No I/O."""
