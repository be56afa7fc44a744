"""The laboratory: stand-ins of what surrounds an ingress, days to play, and a checker of the rules."""
