"""``python -m rushweir.edge``: one ingress of the platform, in the foreground, until SIGTERM."""

from __future__ import annotations

import sys

from rushweir.edge.signals import Signals


def main() -> int:
    signals = Signals()
    signals.install()
    # Only now the rest, which takes a while to load: a SIGHUP meanwhile would end the process.
    from rushweir.edge.service import run

    return run(signals)


if __name__ == "__main__":
    sys.exit(main())
