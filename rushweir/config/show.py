"""Settings as they hold, in the form of a settings file and with the place of each; and how two differ."""

from __future__ import annotations

import re
from collections.abc import Iterable

from rushweir.config.load import Setting

COLUMN = 44  # where the places stand


def quoted(word: str) -> str:
    """A word as a settings file takes it."""
    if re.fullmatch(r"[^\s{}#\"\x00-\x1f\x7f]+", word):
        return word
    return '"' + word.replace("\\", "\\\\").replace('"', '\\"') + '"'


def origin(setting: Setting) -> str:
    return f"{setting.spot.file}:{setting.spot.line}" if setting.spot else "default"


def line(setting: Setting) -> str:
    return " ".join((setting.path[-1], *map(quoted, setting.words)))


def blocks(path: tuple[str, ...]) -> tuple[str, ...]:
    """The heads of the blocks that a setting stands in: ``("class booking",)``."""
    if len(path) == 3:
        return (f"{path[0]} {quoted(path[1])}",)
    return path[:-1]


def show(settings: Iterable[Setting], defaults: bool = True) -> str:
    """A settings file that means the same, each line with the place where it was read. Settings of no block come
    first: the models' order has some after blocks."""
    out: list[str] = []
    inside: tuple[str, ...] = ()
    for s in sorted(settings, key=lambda s: len(s.path) > 1):
        if s.spot is None and not defaults:
            continue
        heads = blocks(s.path)
        if heads != inside:
            if inside:
                out.append("}")
            out += [f"{h} {{" for h in heads]
            inside = heads
        text = ("    " if inside else "") + line(s)
        out.append(f"{text:<{COLUMN}}# {origin(s)}")
    return "\n".join([*out, "}"] if inside else out)


def as_rows(settings: Iterable[Setting]) -> list[dict[str, object]]:
    """For ``--json`` and for other processes: path, words and origin."""
    return [{"path": list(s.path), "words": list(s.words), "origin": origin(s)} for s in settings]


def differ(old: Iterable[dict], new: Iterable[dict]) -> list[dict[str, object]]:
    """What changed between two lists of ``as_rows``: path, the words before and after (None: not there), and
    the origin of what stands now, or stood last. Order plays no part where a directive stands on several lines."""
    before, after = _by_path(old), _by_path(new)
    out: list[dict[str, object]] = []
    for path in dict.fromkeys((*before, *after)):
        was, now = before.get(path, []), after.get(path, [])
        gone = [r for r in was if r["words"] not in [x["words"] for x in now]]
        come = [r for r in now if r["words"] not in [x["words"] for x in was]]
        for k in range(max(len(gone), len(come))):
            a, b = gone[k] if k < len(gone) else None, come[k] if k < len(come) else None
            out.append(
                {
                    "path": list(path), "before": a and a["words"], "after": b and b["words"],
                    "origin": (b or a or {}).get("origin"),
                }
            )  # fmt: skip
    return out


def _by_path(rows: Iterable[dict]) -> dict[tuple, list[dict]]:
    out: dict[tuple, list[dict]] = {}
    for r in rows:
        out.setdefault(tuple(r["path"]), []).append(r)
    return out
