"""The daemon's house serves here, too."""

from tests.daemon.conftest import house

__all__ = ["house"]
