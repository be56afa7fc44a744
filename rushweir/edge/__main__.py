"""``python -m rushweir.edge``: runs one ingress of the platform in the foreground until SIGTERM."""

from __future__ import annotations

import sys

from rushweir.ingress.signals import Signals


def main() -> int:
    """Runs the ingress and returns the exit status of the process."""
    signals = Signals()
    signals.install()
    # Imported after the handlers are installed: loading takes a while, and a SIGHUP would end the process meanwhile.
    from rushweir.edge.service import run

    return run(signals)


if __name__ == "__main__":
    sys.exit(main())
