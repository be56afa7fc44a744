"""Load shedding of an ingress whose own process is short of CPU."""
