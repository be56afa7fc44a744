"""Runs the roles asked for, prints what each gave, and writes the file of samples."""

from __future__ import annotations

import datetime
import subprocess
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import asdict
from pathlib import Path
from typing import Any

import orjson

from rushweir.files import replace_file
from rushweir.lab.scale import beside, bounds, order
from rushweir.lab.scale.bounds import DoesNotFit
from rushweir.lab.scale.children import ChildFailed
from rushweir.lab.scale.registry import needs, preparers
from rushweir.lab.scale.samples import Role, Sample

FORMAT = 1


class Report:
    """Lines as they come, each with the seconds since the start."""

    def __init__(self, out: Callable[[str], None]) -> None:
        self.out, self.began = out, time.monotonic()

    def __call__(self, text: str) -> None:
        self.out(f"{time.monotonic() - self.began:7.1f}  {text}")


def measure(
    roles: Sequence[Role], sizes: Sequence[int], say: Callable[[str], None]
) -> tuple[list[Sample], list[str]]:
    """All samples of the roles at the sizes given, at each role's own where none are; and what failed, a line each.
    Raises DoesNotFit."""
    wanted = [(role.name, size) for role in roles for size in sizes or role.sizes]
    machine = bounds.this_machine()
    for name, size, need in needs(wanted):  # all of them before anything starts
        try:
            bounds.fits(need, machine)
        except DoesNotFit as problem:
            raise DoesNotFit(f"{name} at {size}: {problem}") from None
    samples: list[Sample] = []
    failed: list[str] = []

    def fails(name: str, size: int, why: str) -> None:
        failed.append(f"{name} at {size}: {why}")
        say(f"failed: {failed[-1]}")

    counted = beside.play(order.beside(roles, sizes), say)
    for prepare in preparers():
        prepare(wanted, say)
    for role in roles:
        rounds = order.Rounds(role, sizes)
        for size in rounds.sizes if role.counted is not None else ():
            match counted[role.name, size]:
                case ChildFailed() as problem:
                    fails(role.name, size, f"ChildFailed: {problem}")
                case found:
                    rounds.found += found
        for n, size in rounds:
            say(f"{role.name}: {size} {role.by}" + (f", round {n + 1} of {role.rounds}" if role.rounds > 1 else ""))
            try:
                rounds.found += role.measure(size)
            except DoesNotFit:
                raise
            except Exception as problem:  # noqa: BLE001 - whatever one role raised, the others are measured
                rounds.failed.add(size)
                fails(role.name, size, f"{type(problem).__name__}: {problem}")
        found = rounds.samples()
        samples += found
        for line in table(role, found):
            say(line)
    return samples, failed


def table(role: Role, samples: Sequence[Sample]) -> list[str]:
    """A role's figures, a line each, its sizes in columns."""
    sizes = sorted({s.size for s in samples})
    figures = list(dict.fromkeys((s.figure, s.unit, s.how) for s in samples))
    out = [f"{role.title}, by {role.by}", f"  {'':28} {'':6} {'':9} " + "".join(f"{n:>11}" for n in sizes)]
    for figure, unit, how in figures:
        values = {s.size: s.value for s in samples if (s.figure, s.unit, s.how) == (figure, unit, how)}
        cells = "".join(f"{values[n]:>11.4g}" if n in values else f"{'-':>11}" for n in sizes)
        out.append(f"  {figure:28} {unit:6} {how:9} {cells}")
    return out


def document(samples: Iterable[Sample], command: str) -> dict[str, Any]:
    """The file of samples."""
    return {
        "format": FORMAT, "machine": bounds.facts(), "revision": revision(),
        "date": datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds"), "command": command,
        "samples": [asdict(s) for s in samples],
    }  # fmt: skip


def revision() -> str:
    """Of the checkout that this runs from, with ``+`` where it was changed; nothing where there is none."""

    def git(*args: str) -> str:
        done = subprocess.run(["git", *args], cwd=Path(__file__).parent, capture_output=True, text=True, check=False)
        return done.stdout.strip() if done.returncode == 0 else ""

    found = git("rev-parse", "HEAD")
    return found + ("+" if found and git("status", "--porcelain", "--untracked-files=no", "--", ":/rushweir") else "")


def run(
    roles: Sequence[Role], sizes: Sequence[int], file: Path | None, command: str, out: Callable[[str], None]
) -> int:
    """The exit code: 0 all measured, 1 not, 2 a size does not fit. Without any sample no file is written."""
    say = Report(out)
    try:
        samples, failed = measure(roles, sizes, say)
    except DoesNotFit as problem:
        say(f"does not fit this machine: {problem}")
        return 2
    if file is not None and samples:
        replace_file(file, orjson.dumps(document(samples, command), option=orjson.OPT_INDENT_2) + b"\n")
        say(f"{len(samples)} samples in {file}")
    for line in failed:
        say(f"failed: {line}")
    return 1 if failed else 0
