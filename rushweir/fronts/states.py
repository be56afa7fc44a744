"""States of a client connection that the core distinguishes, whatever protocol its front implements."""

HEAD = "head"  # no complete message has been read yet
HTTP = "http"  # plain HTTP: answers in order, no pings
OPEN = "open"  # the front's main protocol
CLOSING = "closing"  # the last answer is being sent
