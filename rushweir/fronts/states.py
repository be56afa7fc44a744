"""The states of a client's connection that the core looks at, whatever protocol a front speaks."""

HEAD = "head"  # nothing whole was read yet
HTTP = "http"  # plain HTTP: answers in order, no word in between
OPEN = "open"  # the main protocol
CLOSING = "closing"  # the last answer is on its way
