"""Fits and what is printed of them do not hang on rounding, which differs from processor to processor."""

from __future__ import annotations

from pathlib import Path

import pytest

from rushweir.lab.capacity import fits, letter, sheet, tables, units
from rushweir.lab.capacity.fits import Fit, Form, fit
from rushweir.lab.scale.samples import Sample

SIZES = (10, 25, 50, 100)
PART = 1e-15  # some five units in the last place of a sample
# By how many parts each sample is off.
DISTURBANCES = (
    (0, 0, 0, 0), (1, 1, 1, 1), (-1, -1, -1, -1), (1, -1, 1, -1), (-1, 1, -1, 1), (1, 0, 0, 0), (-1, 0, 0, 0),
    (0, 0, 0, 1), (0, 0, 0, -1), (1, 1, -1, -1), (-1, -1, 1, 1), (0, 1, -1, 0), (0, -1, 1, 0),
)  # fmt: skip
SERIES = {
    "constant": (214.0, 214.0, 214.0, 214.0),
    "constant, a fraction": (5 / 6, 5 / 6, 5 / 6, 5 / 6),
    "constant, on the edge of a rounding step": (1.125, 1.125, 1.125, 1.125),
    "constant, on the edge of a unit": (1000.0, 1000.0, 1000.0, 1000.0),
    "constant, as much as is allowed": (4000.0, 4000.0, 4000.0, 4000.0),
    "nearly constant, falling": (328.0, 327.99, 327.99, 327.98),
    "nearly constant, up and down": (171090.08, 171071.56, 171102.95, 171082.6),
    "nearly constant, by less than the tolerance": tuple(214.0 + n * 1e-11 for n in SIZES),
    "in proportion": tuple(float(n) for n in SIZES),
    "a line down to zero at 700": tuple(float(700 - n) for n in SIZES),
    "a limit": tuple(286 * (1 - 1 / n) for n in SIZES),
}
ROLE = """
event = []

[[role]]
name = "mail"
title = "Mail"
mechanism = "letters"
need = [
    { what = "bytes", sample = "mail.bytes", column = "bytes", allowance = "bytes", sum = "ingress" },
    { what = "a few", sample = "mail.bytes", column = "bytes", sum = "ingress" },
]
"""
PRINTED = ("decision", "missing", "roles", "slopes", "ingress")


def disturbed(values: tuple[float, ...]) -> list[tuple[float, ...]]:
    return [tuple(v * (1 + k * PART) for v, k in zip(values, parts, strict=True)) for parts in DISTURBANCES]


def fitted(values: tuple[float, ...]) -> Fit:
    return fit(zip(SIZES, values, strict=True))


def printed(file: Path, values: tuple[float, ...]) -> list[str]:
    """All that the page says of the samples."""
    found = [Sample("mail", "bytes", "B/s", "ingresses", n, v, "core") for n, v in zip(SIZES, values, strict=True)]
    worked = sheet.load(found, letter.load(), file)
    forms = [str(f) for f in fitted(values).forms]
    return [*forms, *(line for name in PRINTED for line in tables.TABLES[name](worked, {}))]


@pytest.mark.parametrize("name", SERIES)
def test_samples_disturbed_in_their_last_digits_get_the_same_forms_and_text(tmp_path: Path, name: str):
    file = tmp_path / "roles.toml"
    file.write_text(ROLE)
    first, *others = disturbed(SERIES[name])
    for other in others:
        assert [f.name for f in fitted(other).forms] == [f.name for f in fitted(first).forms]
        assert printed(file, other) == printed(file, first)


def test_constant_samples_are_a_line_without_a_slope():
    for values in disturbed(SERIES["constant"]):
        assert [str(f) for f in fitted(values).forms] == ["214 + 0 n", "214 n^0.00", "214 + 0 / n"]


def test_forms_that_are_equally_off_go_by_a_fixed_order():
    equal = [Form(name, 1.0, 0.0, 0.1) for name in ("limit", "power", "line")]
    assert [f.name for f in fits.ranked(equal)] == ["line", "power", "limit"]
    near = [Form("limit", 1.0, 0.0, 0.1), Form("power", 1.0, 0.0, 0.1 + fits.TOLERANCE / 2)]
    assert [f.name for f in fits.ranked(near)] == ["power", "limit"]
    far = [Form("limit", 1.0, 0.0, 0.1), Form("power", 1.0, 0.0, 0.1 + 3 * fits.TOLERANCE)]
    assert [f.name for f in fits.ranked(far)] == ["limit", "power"]


def test_a_form_is_held_against_the_best_alone():
    """The line is as good as the power, the power as the limit, but the line not as the limit, which is the best."""
    chain = [
        Form("line", 1.0, 0.0, 0.1 + 1.6 * fits.TOLERANCE),
        Form("power", 1.0, 0.0, 0.1 + 0.8 * fits.TOLERANCE),
        Form("limit", 1.0, 0.0, 0.1),
    ]
    for forms in (chain, chain[::-1], chain[1:] + chain[:1]):
        assert [f.name for f in fits.ranked(forms)] == ["power", "limit", "line"]


def test_what_rounds_to_zero_has_no_sign(tmp_path: Path):
    file = tmp_path / "roles.toml"
    file.write_text(ROLE)
    falling = SERIES["nearly constant, falling"]
    assert -0.005 < fitted(falling).exponent < 0
    assert "| 0.00 |" in "\n".join(printed(file, falling)) and "-0" not in "\n".join(printed(file, falling))
    assert str(Form("power", 3.0, -0.001)) == "3 n^0.00"
    assert str(Form("line", -0.0, -0.0)) == "0 + 0 n"
    assert units.plain(-0.0) == "0"


def test_a_line_that_comes_to_zero_holds_there():
    for values in disturbed(SERIES["a line down to zero at 700"]):
        found = fitted(values)
        assert found.form(700).name == "line" and found.at(700) == 0
