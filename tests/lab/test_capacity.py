"""The capacity page and the file of samples hold together; fits, marks and sums on samples made up for it."""

from __future__ import annotations

import copy
import sys
from dataclasses import asdict
from pathlib import Path

import orjson
import pytest
from click.testing import CliRunner

from rushweir.cli.main import main
from rushweir.lab.capacity import letter, page, sheet, tables, units
from rushweir.lab.capacity.fits import FitError, fit
from rushweir.lab.scale import (
    pure_costs,
    pure_counter,
    pure_list,
    pure_mail,
    pure_policy,
    pure_pool,
    pure_settings,
    pure_watch,
    rollout_roles,
)
from rushweir.lab.scale.samples import Sample

DOCS = Path(__file__).parents[2] / "docs"
PAGE, SAMPLES = DOCS / "CAPACITY.md", DOCS / "capacity.json"
ROLES = """
[[role]]
name = "mail"
title = "Mail"
mechanism = "letters"
need = [
    { what = "bytes", sample = "mail.bytes", column = "bytes", allowance = "bytes", sum = "ingress" },
    { what = "more bytes", sample = "mail.more", column = "bytes", allowance = "bytes", sum = "ingress" },
    { what = "a letter", sample = "mail.letter", column = "processor", times = "requests", allowance = "cpu" },
]

[[role]]
name = "shelves"
title = "Shelves"
mechanism = "missing: there are none"
named = "some shelves"

[[event]]
title = "Fire"
often = "seldom"
role = "fire"
"""


def samples(role: str, figure: str, unit: str, values: dict[int, float], by: str = "ingresses") -> list[Sample]:
    return [Sample(role, figure, unit, by, size, value, "core") for size, value in values.items()]


def made(tmp_path: Path, found: list[Sample], text: str = ROLES) -> sheet.Sheet:
    file = tmp_path / "roles.toml"
    file.write_text(text)
    return sheet.load(found, letter.load(), file)


def needed(found: list[Sample], measured: bool) -> set[str]:
    """The figures that roles need, and that the samples give, or not."""
    return {n.sample for n in sheet.load(found, letter.load()).needs if (n.figure is not None) is measured}


BYTES = samples("mail", "bytes", "B/s", {10: 100.0, 25: 250.0, 50: 500.0, 100: 1000.0})
LETTER = samples("mail", "letter", "us", {100: 10.0, 200: 20.0, 350: 35.0, 700: 70.0})

# --- page and file ---------------------------------------------------------------------------------


def test_the_page_is_what_the_samples_make():
    text = PAGE.read_text()
    assert page.differing(text, page.made(text, page.read(SAMPLES))) == []


def test_a_figure_changed_in_the_page_is_found_whichever_it_is():
    text, document = PAGE.read_text(), page.read(SAMPLES)
    tabled = [k for k, line in enumerate(text.splitlines()) if line.startswith("| ") and any(map(str.isdigit, line))]
    assert len(tabled) > 50
    every = text.splitlines(keepends=True)
    for k in tabled:
        at = max(n for n, c in enumerate(every[k]) if c.isdigit())
        every[k] = every[k][:at] + str((int(every[k][at]) + 1) % 10) + every[k][at + 1 :]
    fresh = page.made("".join(every), document)
    assert fresh == text
    for k in tabled:
        lines = text.splitlines(keepends=True)
        lines[k] = every[k]
        (found,) = page.differing("".join(lines), fresh)
        assert found.startswith(f"line {k + 1}:")


def test_a_figure_changed_in_the_file_is_found():
    text, document = PAGE.read_text(), page.read(SAMPLES)
    known = needed(sheet.samples_of(document), True)
    assert len(known) > 30
    for name in sorted(known):
        other = copy.deepcopy(document)
        for s in other["samples"]:
            if f"{s['role']}.{s['figure']}" == name:
                s["value"] = s["value"] / 2 + 0.1
        assert page.differing(text, page.made(text, other)), name


def test_a_figure_by_hand_is_refused_and_one_of_the_letter_is_not():
    text, document = PAGE.read_text(), page.read(SAMPLES)
    assert page.by_hand(text) == []
    for stray in ("It takes 12 ms.", "It grows x3.4 then.", "5.1% of a core", "some 40 MB more", "1,200 KB/s"):
        with pytest.raises(page.PageError, match="no run holds"):
            page.made(text + stray + "\n", document)
    assert page.made(text + "\nBefore 7,600 backends stand 700 ingresses.\n", document)


def test_a_page_without_a_table_or_with_a_strange_one_is_refused():
    text, document = PAGE.read_text(), page.read(SAMPLES)
    with pytest.raises(page.PageError, match="no place for: missing"):
        page.made(text.replace("table missing -->", "tafel -->"), document)
    with pytest.raises(page.PageError, match="none of"):
        page.made(text + "<!-- table odd -->\n<!-- end odd -->\n", document)


def test_every_role_and_event_of_the_letter_has_its_row():
    text = PAGE.read_text()
    names = (
        "Ingress's request path", "Keeper of quotas", "Fleet member", "Seed and chair", "Home of a budget",
        "Holder of lent parts", "List watcher", "Settings", "Connections to backends", "Cost routes",
        "Watch, metrics, logs, console", "Counter", "Operators' socket", "Services",
    )  # fmt: skip
    for name in names:
        assert f"| **{name}" in text
    for event in ("32 and 480 a day", "every week", "a few times a year", "now and then", "3,500 a day"):
        assert f"| {event} |" in text


def test_the_command_makes_the_page_and_checks_it(tmp_path: Path):
    runner, file, other = CliRunner(), tmp_path / "page.md", tmp_path / "samples.json"
    file.write_text(PAGE.read_text())
    other.write_bytes(SAMPLES.read_bytes())
    given = ["lab", "capacity", "--page", str(file), "--json", str(other)]
    assert runner.invoke(main, [*given, "--check"]).exit_code == 0
    document = orjson.loads(other.read_bytes())
    document["date"] = "another day"
    other.write_bytes(orjson.dumps(document))
    told = runner.invoke(main, [*given, "--check"])
    assert told.exit_code == 1 and "line " in told.output
    assert file.read_text() == PAGE.read_text()  # a check writes nothing
    assert runner.invoke(main, given).exit_code == 0 and "another day" in file.read_text()
    assert runner.invoke(main, [*given, "--check"]).exit_code == 0
    other.write_text("{")
    assert runner.invoke(main, given).exit_code == 2


def test_the_command_names_the_library_that_is_missing(monkeypatch: pytest.MonkeyPatch):
    for name in [n for n in sys.modules if n.startswith("rushweir.lab.capacity")]:
        monkeypatch.delitem(sys.modules, name)
    monkeypatch.setitem(sys.modules, "numpy", None)
    told = CliRunner().invoke(main, ["lab", "capacity", "--check"])
    assert told.exit_code == 2 and "numpy is not installed" in told.output


# --- fits ------------------------------------------------------------------------------------------


def test_a_line_and_a_power_are_found_again():
    line = fit([(n, 2.0 + 3.0 * n) for n in (10, 25, 50, 100)])
    assert line.form(700).name == "line" and line.at(700) == pytest.approx(2102.0)
    assert line.form(700).residual == pytest.approx(0.0, abs=1e-9)
    power = fit([(n, 0.5 * n**1.5) for n in (10, 25, 50, 100)])
    assert power.form(700).name == "power" and power.at(700) == pytest.approx(0.5 * 700**1.5)
    assert power.exponent == pytest.approx(1.5) and line.exponent == pytest.approx(1.0, abs=0.05)
    square = fit([(n, 7.0 * n * n) for n in (10, 25, 50, 100)])
    assert square.exponent == pytest.approx(2.0) and square.factor(700) == 7.0


def test_what_is_off_is_told():
    off = fit([(10, 1.0), (20, 4.0), (40, 1.0), (80, 4.0)])
    assert 0.3 < off.form(700).residual < 1.0
    near = fit([(10, 1.0), (20, 2.1), (40, 3.9), (80, 8.0)])
    assert 0 < near.form(700).residual < 0.05


def test_what_was_measured_is_answered_by_its_median_and_not_by_a_fit():
    points = [(n, v) for n in (10, 20, 40, 80) for v in (n, 5.0 * n, n + 1)]
    assert fit(points).at(80) == 81 and fit(points).points[10] == 11


def test_a_line_that_falls_below_zero_is_no_answer():
    falling = fit([(10, 13.2), (25, 12.8), (50, 12.2), (100, 10.7)])
    assert {f.name: f.at(700) < 0 for f in falling.forms} == {"line": True, "power": False, "limit": False}
    assert falling.forms[0].name == "line" and 0 < falling.at(700) < 10.7


def test_what_comes_near_a_limit_stays_below_it():
    mail = fit([(n, 286 * (1 - 1 / n)) for n in (10, 25, 50, 100)])
    assert mail.form(700).name == "limit" and mail.at(700) == pytest.approx(286 * (1 - 1 / 700))


def test_zeros_are_fitted_by_a_line_and_fewer_than_four_sizes_by_nothing():
    none = fit([(n, 0.0) for n in (10, 20, 40, 80)])
    assert none.at(700) == 0 and none.exponent is None
    with pytest.raises(FitError, match="there are 3"):
        fit([(10, 1.0), (20, 2.0), (40, 4.0), (40, 4.1)])


# --- the sheet -------------------------------------------------------------------------------------


def test_what_is_beyond_the_largest_size_is_marked_with_its_factor_and_the_rest_is_not(tmp_path: Path):
    worked = made(tmp_path, BYTES + LETTER)
    by_what = {n.what: n for n in worked.needs}
    assert str(by_what["bytes"].figure) == "7 KB/s (extrapolated x7)"
    assert "extrapolated" not in str(by_what["a letter"].figure)
    for name in ("decision", "missing", "roles", "slopes", "ingress"):
        text = "\n".join(tables.TABLES[name](worked, {}))
        assert "7 KB/s (extrapolated x7)" in text, name
        assert "7 KB/s |" not in text.replace("7 KB/s (extrapolated x7)", "")


def test_a_need_is_what_one_costs_times_how_often_it_comes(tmp_path: Path):
    worked = made(tmp_path, LETTER)
    need = next(n for n in worked.needs if n.what == "a letter")
    assert need.figure.value == pytest.approx(70e-6 * 100_000 / 700) and need.figure.measures == "core"
    assert need.ratio == pytest.approx(0.01 / 0.033)


def test_needs_stand_by_ratio_and_what_nothing_carries_comes_first(tmp_path: Path):
    worked = made(tmp_path, BYTES + LETTER)
    rows = [(None if n is None else n.what, r.title) for _, r, n in tables.by_ratio(worked)]
    assert rows == [(None, "Shelves"), ("bytes", "Mail"), ("a letter", "Mail")]
    text = tables.decision(worked, {})
    assert "missing: there are none" in text[2] and "x1.75" in text[3] and "x0.303" in text[4]
    listed = tables.missing(worked, {})
    assert listed[0].startswith("1. **Shelves**: missing") and "bytes: 7 KB/s" in listed[1] and len(listed) == 2


def test_what_was_not_measured_says_so_and_a_sum_without_it_is_a_least(tmp_path: Path):
    worked = made(tmp_path, BYTES)
    for name in ("decision", "roles", "slopes", "ingress"):
        assert any("not measured" in line for line in tables.TABLES[name](worked, {})), name
    assert "at least 7 KB/s" in "\n".join(tables.sum_ingress(worked, {}))
    whole = made(tmp_path, BYTES + samples("mail", "more", "B/s", {1: 500, 2: 500, 350: 500, 700: 500}))
    summed = sheet.total(whole.needs, "ingress", "bytes")
    assert summed.value == pytest.approx(7500) and summed.factor == 7.0 and not summed.absent
    assert str(summed) == "7.5 KB/s (extrapolated x7)"


def test_too_few_sizes_are_no_slope_and_say_so(tmp_path: Path):
    worked = made(tmp_path, BYTES[:3])
    assert worked.needs[0].figure is None
    assert "3 sizes, four are wanted" in "\n".join(tables.slopes(worked, {}))


def test_a_share_is_no_more_than_all(tmp_path: Path):
    grown = {10: 0.09, 25: 0.225, 50: 0.45, 100: 0.9}
    worked = made(tmp_path, samples("mail", "late_share", "1", grown) + samples("mail", "late", "1", grown))
    assert worked.figures["mail", "late"].value > 1 == worked.figures["mail", "late_share"].value


def test_what_the_letter_gives_no_size_of_stands_at_the_largest_measured(tmp_path: Path):
    burst = samples("fire", "until_out", "s", {1: 1.0, 2: 2.0, 4: 4.0, 8: 9.0}, by="houses at once")
    (row,) = tables.events(made(tmp_path, BYTES + burst), {})[2:]
    assert row.endswith("until out 9 s (at 8 houses at once) |")


def test_hollow_ingresses_are_held_against_real_ones(tmp_path: Path):
    found = [
        *samples("check", "mail_sent_bytes", "ratio", {25: 1.02, 50: 0.95}),
        *samples("check", "cpu_idle_real", "ms/s", {25: 10.0}),
        *samples("check", "cpu_idle_hollow", "ms/s", {25: 8.0}),
    ]
    document = {"samples": [asdict(s) for s in found]}
    cpu, mail = tables.hollow(made(tmp_path, BYTES), document)[2:]
    assert cpu == "| cpu idle | 25: 0.8 | differs at 1 of 1 |"
    assert mail == "| mail sent bytes | 25: 1.02, 50: 0.95 | within a tenth |"
    assert tables.hollow(made(tmp_path, BYTES), {"samples": []})[2] == "| all | not measured | - |"


def test_events_are_not_measured_until_a_role_plays_them(tmp_path: Path):
    assert tables.events(made(tmp_path, BYTES), {})[2].count("not measured") == 3
    sizes = (10, 25, 50, 100)
    played = [
        *samples("fire", "served_share", "1", dict.fromkeys(sizes, 0.5)),
        *samples("fire", "until_as_before", "s", {n: n / 10 for n in sizes}),
        *samples("fire", "sent_bytes", "B/s", {n: 10.0 * n for n in sizes}),
    ]
    cells = tables.events(made(tmp_path, played), {})[2].split(" | ")
    own = ROLES + 'costs = ["sent_bytes"]\nserved = []\nuntil = ["ever"]\n'
    named = tables.events(made(tmp_path, played, own), {})[2].split(" | ")
    assert named[2:] == ["sent bytes 7 KB/s (extrapolated x7)", "not measured", "not measured |"]
    assert cells[2:] == [
        "sent bytes 7 KB/s (extrapolated x7)", "served share 0.5 (extrapolated x7)",
        "until as before 70 s (extrapolated x7) |",
    ]  # fmt: skip


@pytest.mark.parametrize(
    ("change", "named"),
    [
        (('column = "bytes"', 'column = "weight"'), "weight"),
        (('allowance = "bytes"', 'allowance = "memory"'), "flow against an allowance of bytes"),
        (('allowance = "bytes"', 'allowance = "gold"'), "gold"),
        (('times = "requests"', 'times = "moons"'), "moons"),
    ],
)
def test_texts_that_do_not_fit_are_refused(tmp_path: Path, change: tuple[str, str], named: str):
    with pytest.raises((sheet.SheetError, letter.LetterError), match=named):
        made(tmp_path, BYTES + LETTER, ROLES.replace(*change))


def test_samples_that_do_not_fit_are_refused(tmp_path: Path):
    with pytest.raises(sheet.SheetError, match="several units"):
        made(tmp_path, [*BYTES, Sample("mail", "bytes", "KB/s", "ingresses", 200, 1.0, "core")])
    with pytest.raises(units.UnitError, match="furlong"):
        made(tmp_path, samples("mail", "bytes", "furlong", {1: 1, 2: 2, 3: 3, 4: 4}))
    with pytest.raises(sheet.SheetError, match="format 1"):
        sheet.samples_of({"format": 2, "samples": []})
    with pytest.raises(sheet.SheetError, match="finite"):
        sheet.samples_of({"format": 1, "samples": [{
            "role": "a", "figure": "b", "unit": "s", "by": "ingresses", "size": 0, "value": 1.0, "how": "core",
        }]})  # fmt: skip


def test_the_letter_is_read_whole_or_refused(tmp_path: Path):
    known = letter.load()
    assert known.each_s("requests") == pytest.approx(142.857, abs=0.001)
    assert known.each_s("changes") * 86_400 == 3_500 and known.allowed("memory") == (32e6, "bytes")
    file = tmp_path / "letter.toml"
    file.write_text(letter.FILE.read_text().replace("tenants", "tenors"))
    with pytest.raises(letter.LetterError, match="tenants is missing"):
        letter.load(file)


def test_every_figure_that_a_need_names_has_a_form():
    """A need that names no figure of any role would stand as not measured for ever."""
    named = {n.sample.split(".")[0] for n in sheet.load([], letter.load()).needs}
    hollow = {"request", "list", "ingress", "rate", "mail", "member", "seed", "chair", "budgets", "doors", "watcher"}
    modules = (
        pure_costs, pure_counter, pure_list, pure_mail, pure_policy, pure_pool, pure_settings, pure_watch,
        rollout_roles,
    )  # fmt: skip
    pure = {r.name for m in modules for r in m.ROLES}
    assert named <= pure | hollow and not pure & hollow
    absent = needed(sheet.samples_of(page.read(SAMPLES)), False)
    assert {n for n in absent if n.split(".")[0] not in hollow} == set()
