"""``rushweir lab scale``: what each role costs as the fleet and what it serves grow."""

from __future__ import annotations

import shlex
import sys
from pathlib import Path

import click


def _sizes(context: click.Context, option: click.Parameter, given: str) -> tuple[int, ...]:
    try:
        found = tuple(int(x) for x in given.split(",")) if given else ()
    except ValueError:
        raise click.BadParameter("whole numbers, with commas between them") from None
    if any(n < 1 for n in found):
        raise click.BadParameter("1 at least")
    return found


@click.command("scale")
@click.argument("names", metavar="ROLE...", nargs=-1)
@click.option("--sizes", default="", callback=_sizes, help="25,50,100: instead of each role's own.")
@click.option("--json", "file", type=click.Path(path_type=Path, dir_okay=False), help="Write the samples to FILE.")
@click.option("--list", "listed", is_flag=True, help="Print the roles and their sizes, and measure nothing.")
def lab_scale(names: tuple[str, ...], sizes: tuple[int, ...], file: Path | None, listed: bool) -> None:
    """Measure the ROLEs named, or all, on this machine: hollow ingresses on sockets with real ones among them,
    events on virtual clocks. Exit code 1 where something could not be measured, 2 where a size does not fit."""
    from rushweir.lab.scale.registry import roles
    from rushweir.lab.scale.runner import run

    known = roles()
    if unknown := [n for n in names if n not in known]:
        raise click.BadParameter(f"{', '.join(unknown)}: known are {', '.join(known)}", param_hint="ROLE")
    if listed:
        for role in known.values():
            click.echo(f"{role.name:12} {role.title}, by {role.by}: {', '.join(map(str, role.sizes))}")
        return
    command = shlex.join(["rushweir", *sys.argv[1:]])
    chosen = [known[n] for n in names] or list(known.values())
    sys.exit(run(chosen, sizes, file, command, lambda line: click.echo(line)))
