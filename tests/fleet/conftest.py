"""Makes the daemon tests' ``house`` fixture available here."""

from tests.daemon.conftest import house

__all__ = ["house"]
