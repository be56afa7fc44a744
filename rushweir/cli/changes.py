"""Changes of settings, as they are printed."""

from __future__ import annotations

import click


def tell_changes(changes: list[dict]) -> None:
    """One line for what went, one for what came, with its origin."""
    for c in changes:
        name = " ".join(c["path"])
        for sign, words in (("-", c["before"]), ("+", c["after"])):
            if words is not None:
                click.echo(f"{sign} {name} {' '.join(words)}" + (f"    # {c['origin']}" if sign == "+" else ""))
