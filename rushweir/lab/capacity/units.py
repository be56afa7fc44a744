"""Units of samples and allowances: what each is a multiple of, and how a figure is written."""

from __future__ import annotations

# Unit: what it measures, and how much of that one is.
UNITS = {
    "us": ("time", 1e-6), "ms": ("time", 1e-3), "s": ("time", 1.0),
    "ms/s": ("core", 1e-3), "% of a core": ("core", 0.01), "cores": ("core", 1.0),
    "B": ("bytes", 1.0), "KB": ("bytes", 1e3), "KiB": ("bytes", 1024.0), "MB": ("bytes", 1e6),
    "B/s": ("flow", 1.0), "KB/s": ("flow", 1e3),
    "1": ("count", 1.0), "1/s": ("pace", 1.0), "ratio": ("count", 1.0), "machines": ("machines", 1.0),
}  # fmt: skip
EACH_SECOND = {"time": "core", "bytes": "flow", "count": "pace"}  # what so many a second come to
STEPS = {
    "time": (("s", 1.0), ("ms", 1e-3), ("us", 1e-6)),
    "bytes": (("MB", 1e6), ("KB", 1e3), ("B", 1.0)),
    "flow": (("MB/s", 1e6), ("KB/s", 1e3), ("B/s", 1.0)),
}
# Three digits are printed. Rounding to so many first takes away the noise that processors leave in the last of
# sixteen, which would decide a value on the edge of a rounding step, such as 1.125, or of a unit, such as 1,000 B.
STABLE_DIGITS = 9


class UnitError(ValueError):
    """A unit that is not known, or that does not go with another."""


def base(value: float, unit: str) -> tuple[float, str]:
    """A value in the base of what its unit measures, and what that is. Raises UnitError."""
    if unit not in UNITS:
        raise UnitError(f"unit {unit!r} is none of {', '.join(UNITS)}")
    measures, factor = UNITS[unit]
    return value * factor, measures


def each_second(measures: str) -> str:
    """What it is if it comes some times a second. Raises UnitError."""
    if measures not in EACH_SECOND:
        raise UnitError(f"{measures} a second is no figure")
    return EACH_SECOND[measures]


def without_noise(value: float) -> float:
    """The value as it is compared or printed on every processor: rounded to STABLE_DIGITS."""
    return float(f"{value:.{STABLE_DIGITS}g}")


def plain(value: float) -> str:
    """Three digits that count."""
    value = without_noise(value)
    if value == 0:
        return "0"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}" if abs(value) >= 0.001 else f"{value:.1e}"


def text(value: float, measures: str) -> str:
    """A figure as people read it."""
    value = without_noise(value)
    if measures == "core":
        return f"{plain(value * 100)}% of a core" if abs(value) < 2 else f"{plain(value)} cores"
    if measures in STEPS:
        unit, factor = next(((u, f) for u, f in STEPS[measures] if abs(value) >= f), STEPS[measures][-1])
        return f"{plain(value / factor)} {unit}"
    return plain(value) + {"pace": "/s", "machines": " machines"}.get(measures, "")
