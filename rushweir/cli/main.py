"""Sub-commands of ``rushweir``. Exit codes: 0 well, 1 not well (a rule broken, requests unanswered), 2 bad input."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from rushweir.config import ConfigError, load


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="rushweir", message="%(version)s")
def main() -> None:
    """An API gateway that keeps quotas and priorities across a fleet of instances."""


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--log", type=click.Choice(["text", "json"]), default="text", help="Form of the log on standard error.")
def serve(file: Path, log: str) -> None:
    """Run one ingress with the settings in FILE, until SIGTERM."""
    from rushweir.cli.serve import serve as run

    try:
        config = load(file)
    except ConfigError as problem:
        click.echo(str(problem), err=True)
        sys.exit(2)
    sys.exit(run(config, log == "json"))


@main.command()
@click.option("--hold", is_flag=True, help="Keep the fleet up for any WebSocket client; ends with Ctrl-C.")
@click.option("--keep", type=click.Path(path_type=Path), help="Folder for the records; a temporary one if not given.")
def demo(hold: bool, keep: Path | None) -> None:
    """Play a scripted bad day on loopback: three ingresses, nine nodes, crowds of clients, and a verdict."""
    from rushweir.lab.day import load as load_day
    from rushweir.lab.run import hold_up, play

    day = load_day(Path(__file__).parent.parent / "lab" / "days" / "demo.day")
    sys.exit(hold_up(day, keep) if hold else play(day, keep))


@main.group()
def lab() -> None:
    """The laboratory: days to play, records to judge, measurements."""


@lab.command("day")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--keep", type=click.Path(path_type=Path), help="Folder for the records; a temporary one if not given.")
@click.option("--plain", is_flag=True, help="No live table.")
def lab_day(file: Path, keep: Path | None, plain: bool) -> None:
    """Play the day in FILE through real ingresses and judge it."""
    from rushweir.lab.day import load as load_day
    from rushweir.lab.run import play

    try:
        day = load_day(file)
    except ConfigError as problem:
        click.echo(str(problem), err=True)
        sys.exit(2)
    sys.exit(play(day, keep, plain))


@lab.command("replay")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--scale", type=click.FloatRange(0.01, 1.0), default=1.0, help="Share of the day's size to play.")
@click.option("--seconds", type=float, help="Play only its first seconds.")
@click.option("--keep", type=click.Path(path_type=Path), help="Folder for the records; a temporary one if not given.")
@click.option("--plain", is_flag=True, help="No live table.")
def lab_replay(file: Path, scale: float, seconds: float | None, keep: Path | None, plain: bool) -> None:
    """Play a day drawn for the bench (FILE, JSON) through real ingresses and judge it."""
    from rushweir.lab.replay import ReplayError
    from rushweir.lab.replay import load as load_day
    from rushweir.lab.run import play

    try:
        day = load_day(file, scale, seconds)
    except ReplayError as problem:
        click.echo(f"replay: {problem}", err=True)
        sys.exit(2)
    sys.exit(play(day, keep, plain))


@lab.command("bench")
@click.argument("parts", nargs=-1, type=click.Choice(["cost", "idle", "soak"]))
@click.option("--seconds", default=10.0, help="Length of each run of cost.")
@click.option("--rounds", default=3, help="Runs of each side, in turns.")
@click.option("--long", "long_s", default=1200.0, help="Length of soak, in seconds.")
def lab_bench(parts: tuple[str, ...], seconds: float, rounds: int, long_s: float) -> None:
    """Measure one ingress beside a bare relay: cost and idle, or the PARTS named."""
    from rushweir.lab.bench import bench

    sys.exit(bench(list(parts) or ["cost", "idle"], seconds, rounds, long_s))


@lab.command("check")
@click.argument("records", type=click.Path(path_type=Path, exists=True, file_okay=False))
def lab_check(records: Path) -> None:
    """Judge the RECORDS of a day, a folder, by the five rules."""
    from rushweir.lab.checker import judge

    sys.exit(judge(records))
