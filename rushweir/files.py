"""Files that outlive a crash."""

from __future__ import annotations

import os
from pathlib import Path


def replace_file(path: Path, data: bytes, mode: int = 0o644) -> None:
    """Write a file so that a crash at any point leaves the old or the new one, whole."""
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
