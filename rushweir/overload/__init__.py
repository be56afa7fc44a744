"""What an ingress does when its own process is short of CPU."""
