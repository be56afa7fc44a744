"""Writing files that survive a crash."""

from __future__ import annotations

import os
from pathlib import Path


def replace_file(path: Path, data: bytes, mode: int = 0o644) -> None:
    """Replace a file atomically and durably: a crash at any point leaves the complete old or new content."""
    new = path.with_name(path.name + ".new")
    with open(new, "wb", opener=lambda p, flags: os.open(p, flags, mode)) as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(new, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
