"""What several of the decisions remember, and for how long."""

MEMORY_MS, REPORT_LIFETIME_MS = 4000.0, 1000.0  # of units finished and failures; of a word, or an end not told
