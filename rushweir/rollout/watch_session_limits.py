"""Bounds and intervals of the sessions of a control process with its watchers."""

from __future__ import annotations

HEARTBEAT_MS = 1_500.0
REPORT_MS = (1_000.0, 3_000.0)  # between reports to other control processes: with a change, and without
SILENT_MS = 10_000.0  # a session that sends nothing for so long is closed
MAX_SESSIONS = 2_048
MAX_RECENT = 4_096  # messages of change sets that are kept as they were sent
MAX_RECENT_BYTES = 8 * 1_048_576
MAX_CATCH_UP_BYTES = 131_072  # of change sets for a watcher that returns; beyond that a delta is sent
SMALL_MESSAGE_BYTES = 16_384
CHUNK_BYTES = 32_768  # of rows in a chunk, before compression
MAX_LARGE_SESSIONS = 4  # sessions that are sent chunks at a time; others wait
LARGE_MESSAGE_SHARE = 0.25  # of the rate, for larger messages
