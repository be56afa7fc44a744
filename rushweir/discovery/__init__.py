"""Where the list of nodes comes from: sources behind one interface, and the copy kept on disk. No I/O."""
