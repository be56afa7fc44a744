"""What an ingress lets be seen: usage, the last hour, courses of requests, events. No I/O, no clock."""
