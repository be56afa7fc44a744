"""Small charts of the last hour as SVG, drawn in the server. Classes for colours, so that the page's strict
content policy needs no exception for styles."""

from __future__ import annotations

from collections.abc import Sequence

from markupsafe import Markup, escape

WIDTH, HEIGHT, SLOTS = 360, 60, 360


def chart(title: str, unit: str, lines: Sequence[tuple[str, Sequence[float | None]]]) -> Markup:
    """Lines over the last hour, the newest at the right; None is a gap. Each is a name (a class of the style
    sheet) and its values, oldest first."""
    most = max((v for _, values in lines for v in values if v is not None), default=0.0)
    top = nice(most)
    drawn = Markup("").join(
        Markup('<polyline class="line {}" points="{}"/>').format(name, points)
        for name, values in lines
        for points in _runs(list(values)[-SLOTS:], top)
    )
    last = ", ".join(f"{name} {_text(values[-1])}" for name, values in lines if values)
    return Markup(
        '<figure class="chart"><figcaption>{title} <b>{last}</b> <span>{unit}, top {top}</span></figcaption>'
        '<svg viewBox="0 0 {w} {h}" preserveAspectRatio="none" role="img" aria-label="{title}">{drawn}</svg></figure>'
    ).format(title=escape(title), last=last, unit=unit, top=_text(top), w=WIDTH, h=HEIGHT, drawn=drawn)


def nice(most: float) -> float:
    """The scale's top: 1, 2 or 5 times a power of ten, at or above the highest value."""
    step = 1.0
    while step * 10 <= most:
        step *= 10
    return next(step * f for f in (1, 2, 5, 10) if step * f >= most)


def _runs(values: list[float | None], top: float) -> list[str]:
    """Runs of points between gaps; a lone point is drawn as a short dash."""
    out: list[list[str]] = [[]]
    start = WIDTH - len(values)
    for k, v in enumerate(values):
        if v is None:
            out.append([])
        else:
            y = HEIGHT - 1 - min(1.0, v / top) * (HEIGHT - 2)
            out[-1].append(f"{start + k},{y:.1f}")
    return [" ".join(r if len(r) > 1 else [r[0], r[0].replace(",", ".5,", 1)]) for r in out if r]


def _text(value: float | None) -> str:
    return "-" if value is None else f"{value:g}"
