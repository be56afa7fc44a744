"""Settings in force: a change costs what it changes, from whoever makes it to the turn that applies it."""
