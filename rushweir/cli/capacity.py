"""``rushweir lab capacity``: the tables of the capacity page, worked out from the samples of the scale run."""

from __future__ import annotations

import sys
from pathlib import Path

import click

SHOWN = 10  # lines that differ


@click.command("capacity")
@click.option("--check", is_flag=True, help="Write nothing; exit code 1 where page and samples differ.")
@click.option("--page", type=click.Path(path_type=Path), default=Path("docs/CAPACITY.md"), show_default=True)
@click.option("--json", "samples", type=click.Path(path_type=Path), default=Path("docs/capacity.json"),
              show_default=True, help="Samples, as `rushweir lab scale --json` writes them.")  # fmt: skip
def capacity(check: bool, page: Path, samples: Path) -> None:
    """Make the tables of the capacity page from the file of samples."""
    try:
        from rushweir.lab.capacity import letter, sheet
        from rushweir.lab.capacity import page as pages
    except ModuleNotFoundError as problem:
        if problem.name != "numpy":
            raise
        click.echo("rushweir lab capacity: numpy is not installed; requirements-dev.txt has it", err=True)
        sys.exit(2)
    try:
        old = page.read_text()
        fresh = pages.made(old, pages.read(samples))
    except (OSError, pages.PageError, letter.LetterError, sheet.SheetError) as problem:
        click.echo(str(problem), err=True)
        sys.exit(2)
    differ = pages.differing(old, fresh)
    if check:
        for line in differ[:SHOWN]:
            click.echo(f"{page}: {line}")
        sys.exit(1 if differ else 0)
    if differ:
        page.write_text(fresh)
    click.echo(f"{page}: {len(differ)} lines changed" if differ else f"{page}: as the samples make it")
