"""Write a whole site for the bench out of one that is given and a small file of overrides.

    python deploy/sites/write.py deploy/sites/harbour.toml --given ../given [--into sites]

The file of overrides names the site that it starts from (``base``, a path below the folder given) and, under ``set``,
values by dotted keys: ``"class.0.deadline_ms" = 900``. A key that the site does not have is refused by name, so that
a site whose form changed is noticed and no override is silently without effect. A list of tables may be set as a
whole; its tables may use the keys that the site's own tables of that list use, and no others.

Nothing of the site is kept in the repository: what is written goes to a folder that git ignores.
"""

from __future__ import annotations

import argparse
import shutil
import sys
import tomllib
from pathlib import Path
from typing import Any

import tomli_w

BESIDE = ("real.json", "wire.json", "unlock.txt")  # files that the bench looks for beside a site


class OverrideError(ValueError):
    """An override that the site has no place for; the text names the file and the key."""


def step(table: Any, name: str) -> tuple[Any, Any]:
    """The container and the key or index that one part of a dotted key means. Raises KeyError."""
    if isinstance(table, list):
        if not name.isdecimal() or int(name) >= len(table):
            raise KeyError(name)
        return table, int(name)
    if not isinstance(table, dict) or name not in table:
        raise KeyError(name)
    return table, name


def alike(old: Any, new: Any) -> bool:
    """Whether a value is of the kind that stands there: a number for a number, also for a range of numbers."""
    if isinstance(old, list):
        return not isinstance(new, dict)
    if isinstance(old, bool) or isinstance(new, bool):
        return isinstance(old, bool) and isinstance(new, bool)
    if isinstance(old, int | float):
        return isinstance(new, int | float | list)
    return isinstance(new, type(old)) or (isinstance(old, str) and isinstance(new, list))


def override(site: dict[str, Any], key: str, value: Any) -> None:
    """Set one value. Raises OverrideError where the site has no such key, or something of another kind there."""
    where: Any = site
    names = key.split(".")
    try:
        for name in names[:-1]:
            container, at = step(where, name)
            where = container[at]
        container, at = step(where, names[-1])
    except KeyError as missing:
        raise OverrideError(f"{key}: the site has no {missing.args[0]!r} there") from None
    old = container[at]
    if not alike(old, value):
        raise OverrideError(f"{key}: {type(old).__name__} stands there, not {type(value).__name__}")
    if isinstance(old, list) and old and all(isinstance(x, dict) for x in old):
        known = set().union(*old)
        for k, table in enumerate(value):
            strange = sorted(set(table) - known) if isinstance(table, dict) else ["no table"]
            if strange:
                raise OverrideError(f"{key}.{k}.{strange[0]}: no table of the site's list has it")
    container[at] = value


def made(overrides: Path, given: Path) -> tuple[dict[str, Any], Path]:
    """The whole site, and the folder that its base stands in. Raises OverrideError and OSError."""
    try:
        page = tomllib.loads(overrides.read_text())
        base = given / page["base"]
        values = page["set"]
    except (tomllib.TOMLDecodeError, KeyError) as problem:
        raise OverrideError(f"{overrides}: {problem}") from None
    site = tomllib.loads(base.read_text())
    for key, value in values.items():
        try:
            override(site, key, value)
        except OverrideError as problem:
            raise OverrideError(f"{overrides}: {problem}") from None
    return site, base.parent


def main(argv: list[str]) -> int:
    args = argparse.ArgumentParser(description="Write a whole site for the bench.")
    args.add_argument("overrides", type=Path)
    args.add_argument("--given", type=Path, default=Path("../given"))
    args.add_argument("--into", type=Path, default=Path("sites"))
    args = args.parse_args(argv)
    try:
        site, beside = made(args.overrides, args.given)
        args.into.mkdir(exist_ok=True)
        target = args.into / args.overrides.stem
        target.mkdir(exist_ok=True)
        for name in BESIDE:
            shutil.copyfile(beside / name, target / name)
        path = target / f"{site['name']}.toml"
        path.write_text(tomli_w.dumps(site))
    except (OverrideError, OSError) as problem:
        print(f"write.py: {problem}", file=sys.stderr)
        return 2
    print(path)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
