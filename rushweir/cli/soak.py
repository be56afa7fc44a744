"""``rushweir lab soak``: seeded plays of shutdowns."""

from __future__ import annotations

import sys
from pathlib import Path

import click


def _seeds(context: click.Context, option: click.Parameter, given: str) -> range:
    first, _, last = given.partition("-")
    try:
        found = range(int(first), int(last or first) + 1)
    except ValueError:
        raise click.BadParameter("A-B, whole numbers") from None
    if not found:
        raise click.BadParameter("A-B, with B at least A")
    return found


@click.command("soak")
@click.option("--seeds", default="1-50", callback=_seeds, help="A-B: the seeds to play; 1-50 if not given.")
@click.option("--program", type=click.Choice(["serve", "run"]), help="One program only; both if not given.")
@click.option("--jobs", type=click.IntRange(1, 16), default=2, help="Plays at a time.")
@click.option("--keep", type=click.Path(path_type=Path), help="Folder for the records of all plays.")
@click.option("--json", "file", type=click.Path(path_type=Path, dir_okay=False), help="Write a row a play to FILE.")
@click.option("--sabotage", default="", help="A planted fault of lab/sabotage.py, which has to be found.")
def lab_soak(
    seeds: range, program: str | None, jobs: int, keep: Path | None, file: Path | None, sabotage: str
) -> None:
    """Shut real ingresses down in all ways that a seed draws, under clients that go on, and judge the five rules.
    Exit code 1 where a rule broke."""
    from rushweir.lab.soak.runner import Order, run
    from rushweir.lab.soak.scenario import PROGRAMS

    programs = (program,) if program else PROGRAMS
    sys.exit(run(Order(programs, seeds, jobs, keep, sabotage), file, click.echo))
