"""Time constants that several parts of the policy share, in milliseconds."""

MEMORY_MS = 4000.0  # time constant of finished units, failures and demand
REPORT_LIFETIME_MS = 1000.0  # a report counts for so long, and an attempt whose end was not reported
