"""The web console: server-rendered pages for the night shift, in a process of its own."""
