"""Telemetry of an ingress: usage, the last hour, traces of requests, events. No I/O, no clock."""
