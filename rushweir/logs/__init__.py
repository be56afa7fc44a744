"""Logs: which events are written, how often, and how lines leave the process without blocking it."""
