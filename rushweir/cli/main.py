"""Sub-commands of ``rushweir``. Exit codes: 0 well, 1 not well (a rule broken, requests unanswered, settings that
differ), 2 bad input, 3 no daemon answers."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import orjson

from rushweir.cli import change, operators
from rushweir.cli.capacity import capacity
from rushweir.cli.changes import tell_changes
from rushweir.cli.scale import lab_scale
from rushweir.cli.soak import lab_soak


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="rushweir", message="%(version)s")
def main() -> None:
    """An API gateway that keeps quotas and priorities across a fleet of instances."""


operators.add_to(main)
change.add_to(main)


@main.command("console-user")
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False))
@click.argument("name")
@click.option("--remove", is_flag=True, help="Take NAME out.")
@click.password_option(required=False, prompt=False, help="Asked for if not given; better so.")
def console_user(file: Path, name: str, remove: bool, password: str | None) -> None:
    """Add NAME to the console's users FILE, or give it another password."""
    from rushweir.console.sessions import NAME, UsersError, hash_password, read_users
    from rushweir.files import replace_file

    if not NAME.match(name):
        raise click.BadParameter("letters, digits and . _ @ -, 64 at most", param_hint="NAME")
    try:
        users = read_users(file.read_text()) if file.exists() else {}
    except (OSError, UsersError) as problem:
        click.echo(f"{file}: {problem}", err=True)
        sys.exit(2)
    if remove:
        users.pop(name, None)
    else:
        password = password or click.prompt("Password", hide_input=True, confirmation_prompt=True)
        users[name] = hash_password(password)
    replace_file(file, "".join(f"{n}:{h}\n" for n, h in users.items()).encode(), 0o600)


@main.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print what SHELL needs to complete commands: eval "$(rushweir completion bash)"."""
    from click.shell_completion import get_completion_class

    kind = get_completion_class(shell)
    assert kind is not None
    click.echo(kind(main, {}, "rushweir", "_RUSHWEIR_COMPLETE").source())


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--log", type=click.Choice(["text", "json"]), help="Form of the log on standard error.")
@click.option("--take-over", is_flag=True, help="From the daemon that runs with these settings; refuses nobody.")
def serve(file: Path, log: str | None, take_over: bool) -> None:
    """Run one ingress with the settings in FILE, until SIGTERM. SIGHUP reads them again."""
    from rushweir.cli.serve import serve as run

    sys.exit(run(file, _load(file, True), log or "", take_over))


@main.group()
def config() -> None:
    """Settings: check them, show what holds and where it came from, compare two files."""


def _load(file: Path, own: bool = False):
    """Settings from a file; errors go to standard error and end the program with 2. ``own``: of a machine whose
    shared settings stand with control processes these alone."""
    from rushweir.config import ConfigError, load, rollout  # here: grammar and models cost half a second to load

    try:
        return (rollout.own(file) if own else None) or load(file)
    except ConfigError as problem:
        click.echo(str(problem), err=True)
        sys.exit(2)


FILE = click.argument("file", type=click.Path(path_type=Path, dir_okay=False))
AS_JSON = click.option("--json", "as_json", is_flag=True, help="For programs.")


@config.command("check")
@FILE
def config_check(file: Path) -> None:
    """Say whether FILE can be served; all its errors at once."""
    found = _load(file)
    click.echo(f"{file}: good; {len(found.files)} files, {len(found.file.partners)} partners")


@config.command("show")
@FILE
@click.option("--given", is_flag=True, help="Leave the defaults out.")
@AS_JSON
def config_show(file: Path, given: bool, as_json: bool) -> None:
    """Every setting that holds with FILE, and where each came from."""
    from rushweir.config.show import as_rows, show

    settings = list(_load(file).effective())
    if as_json:
        click.echo(orjson.dumps(as_rows(s for s in settings if s.spot or not given), option=orjson.OPT_INDENT_2))
    else:
        click.echo(show(settings, not given))


@config.command("diff")
@click.argument("old", type=click.Path(path_type=Path, dir_okay=False))
@click.argument("new", type=click.Path(path_type=Path, dir_okay=False))
@AS_JSON
def config_diff(old: Path, new: Path, as_json: bool) -> None:
    """What NEW changes of OLD, defaults resolved. Exit code 1 where they differ."""
    from rushweir.config.show import as_rows, differ

    changes = differ(as_rows(_load(old).effective()), as_rows(_load(new).effective()))
    if as_json:
        click.echo(orjson.dumps(changes, option=orjson.OPT_INDENT_2))
    else:
        tell_changes(changes)
    sys.exit(bool(changes))


@main.group()
def costs() -> None:
    """What requests cost."""


@costs.command("explain")
@FILE
@click.argument("requests", nargs=-1, required=True)
@AS_JSON
def costs_explain(file: Path, requests: tuple[str, ...], as_json: bool) -> None:
    """Price REQUESTS by the rules in FILE: JSON-RPC requests as text, or files with one a line; - is the input."""
    from rushweir.costs.explain import explain

    rules = _load(file).costs()
    if rules is None:
        click.echo(f"{file}: sets no prices; a request says itself what it counts", err=True)
        sys.exit(2)
    rows, bad = [], 0
    for given in requests:
        if given.lstrip().startswith(("{", "[")):
            where, lines = "request", [given]
        else:
            try:
                where, lines = given, click.open_file(given, encoding="utf-8").read().splitlines()
            except (OSError, UnicodeDecodeError) as problem:
                raise click.BadParameter(str(problem), param_hint="REQUESTS") from None
        for k, line in enumerate(lines, 1):
            if line.strip():
                try:
                    rows += explain(rules, line)
                except ValueError as problem:
                    click.echo(f"{where}:{k}: {problem}", err=True)
                    bad += 1
    if as_json:
        click.echo(orjson.dumps(rows, option=orjson.OPT_INDENT_2))
    else:
        for r in rows:
            click.echo(f"{r['method']} costs {r['cost']} by {r['rule']}" + (f" ({r['where']})" if r["where"] else ""))
            for part in r["parts"]:
                click.echo(f"    {part['term']}: {part['counted']}, adds {part['adds']}")
    sys.exit(2 if bad else 0)


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


lab.add_command(lab_scale)
lab.add_command(capacity)
lab.add_command(lab_soak)


@lab.command("day")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--keep", type=click.Path(path_type=Path), help="Folder for the records; a temporary one if not given.")
@click.option("--plain", is_flag=True, help="No live table.")
def lab_day(file: Path, keep: Path | None, plain: bool) -> None:
    """Play the day in FILE through real ingresses and judge it."""
    from rushweir.config import ConfigError
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
@click.argument("parts", nargs=-1, type=click.Choice(["cost", "idle", "console", "reload", "soak"]))
@click.option("--seconds", default=10.0, help="Length of each run of cost.")
@click.option("--rounds", default=3, help="Runs of each side, in turns.")
@click.option("--long", "long_s", default=1200.0, help="Length of soak, in seconds.")
def lab_bench(parts: tuple[str, ...], seconds: float, rounds: int, long_s: float) -> None:
    """Measure one ingress: beside a bare relay (cost, idle), its console, a reload, a long day; the PARTS named."""
    from rushweir.lab.bench import bench

    sys.exit(bench(list(parts) or ["cost", "idle"], seconds, rounds, long_s))


@lab.command("check")
@click.argument("records", type=click.Path(path_type=Path, exists=True, file_okay=False))
def lab_check(records: Path) -> None:
    """Judge the RECORDS of a day, a folder, by the five rules."""
    from rushweir.lab.checker import judge

    sys.exit(judge(records))
