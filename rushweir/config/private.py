"""Files that nobody but their owner may read: keys, and the console's users."""

from __future__ import annotations

import os
import stat
from pathlib import Path

from rushweir.config.text import ConfigError, Problem, Spot

LEAST_KEY, MOST_KEY = 16, 4_096  # bytes, without the white space around it
MOST_FILE = 1_048_576  # bytes, of one that is no key
LINE_END = 2  # bytes that may stand behind


def read_private(path: Path, name: str, spot: Spot, most: int = MOST_FILE) -> bytes:
    """A file's bytes without white space around them, ``most`` of them at most: a part of a secret would be another
    one. ``name``: the directive that names the file, at ``spot``. Raises ConfigError, also where others than the
    owner may read it."""
    try:
        with open(path, "rb") as file:
            if os.fstat(file.fileno()).st_mode & (stat.S_IRWXG | stat.S_IRWXO):
                raise _wrong(name, f"{path} can be read by others; chmod 600 is needed", spot)
            data = file.read(most + LINE_END + 1)
    except OSError as problem:
        raise _wrong(name, str(problem), spot) from None
    found = data.strip()
    if len(data) > most + LINE_END or len(found) > most:
        raise _wrong(name, f"{path}: {most} bytes at most", spot)
    return found


def read_key(path: Path, name: str, spot: Spot) -> bytes:
    """A key from its file. Raises ConfigError, as ``read_private``."""
    key = read_private(path, name, spot, MOST_KEY)
    if len(key) < LEAST_KEY:
        raise _wrong(name, f"{LEAST_KEY} bytes at least", spot)
    return key


def _wrong(name: str, text: str, spot: Spot) -> ConfigError:
    return ConfigError([Problem(spot, f"{name}: {text}")])
