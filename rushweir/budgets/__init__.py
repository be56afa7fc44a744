"""Wholes divided among ingresses, so that what all may spend is never more than the whole. No I/O, no clock."""
