"""Logs: what is written, how often, and how it leaves the process without holding it up."""
