"""Settings over several files, where each came from, and how two differ."""

from __future__ import annotations

import pytest

from rushweir.config import ConfigError, load, load_text
from rushweir.config.show import as_rows, differ, show
from rushweir.fronts.credentials import digest

BASE = f"""\
ingress 0 1
zone room-a
listen 127.0.0.1:8080
list {{
    url ws://127.0.0.1:7000/list
}}
class booking {{
    aim 1200ms
    deadline 3s
}}
plan teljes {{
    rate 5/s
    burst 20
}}
partner "Hotel \\"A\\"" {{
    plan teljes
    credential {digest("x")}
}}
"""


def put(folder, **files):
    for name, text in files.items():
        path = folder / name.replace("__", "/").replace("_", ".")
        path.parent.mkdir(exist_ok=True)
        path.write_text(text)
    return folder / "main.conf"


def told(path):
    with pytest.raises(ConfigError) as caught:
        load(path)
    return str(caught.value)


def test_included_files_in_order_of_name_with_their_places(tmp_path):
    more = "partner {} {{\n    plan teljes\n    credential " + "{}\n}}\n"
    main = put(
        tmp_path, main_conf="include partners/*.conf\n" + BASE,
        partners__b_conf=more.format("b", digest("b")), partners__a_conf=more.format("a", digest("a")),
    )  # fmt: skip
    config = load(main)
    assert list(config.file.partners) == ["a", "b", 'Hotel "A"']
    assert [f.name for f in config.files] == ["main.conf", "a.conf", "b.conf"]
    spots = {s.path: s.spot for s in config.effective()}
    plan = spots[("partner", "a", "plan")]
    assert plan.file.endswith("partners/a.conf") and plan.line == 2
    assert spots[("class", "booking", "aim")].line == 9
    assert spots[("class", "booking", "worth")] is None


def test_an_error_in_an_included_file_shows_its_line(tmp_path):
    main = put(tmp_path, main_conf=BASE + "include limits.conf\n", limits_conf="limits {\n    attempts many\n}\n")
    text = told(main).splitlines()
    assert text[0].endswith("limits.conf:2:14: limits attempts: expected a whole number")
    assert text[1:] == ["        attempts many", "                 ^"]


def test_errors_of_form_in_several_files_are_told_at_once(tmp_path):
    main = put(tmp_path, main_conf=BASE + "include a.conf\ninclude b.conf\n", a_conf="x {\n", b_conf="}\n")
    text = told(main)
    assert "a.conf" in text and "b.conf" in text and "'}' without a block" in text


@pytest.mark.parametrize(
    ("files", "expected"),
    [
        ({"main_conf": "include nowhere.conf\n"}, "main.conf:1:9: include: "),
        ({"main_conf": "include main.conf\n" + BASE}, "includes itself"),
        ({"main_conf": "include a.conf\n" + BASE, "a_conf": "include main.conf\n"}, "includes itself"),
        ({"main_conf": "include\n" + BASE}, "one file, or a pattern"),
        ({"main_conf": BASE + "include a.conf\n", "a_conf": "zone b\n"}, "zone: stands twice, first in line 2"),
        ({"main_conf": BASE + "clients {\n    allow 10.0.0.1/8\n}\n"}, "has host bits set"),
        ({"main_conf": BASE + "clients {\n    allow ::1 x\n}\n"}, ":20:15: clients allow: expected a network"),
        ({"main_conf": BASE + "nodes {\n    allow ::/0\n    deny ::/0\n}\n"}, "main.conf:21:10: nodes: ::/0 is both"),
        ({"main_conf": BASE + "overload {\n    delay 2s\n}\n"}, "overload: delay: below most"),
    ],
)  # fmt: skip
def test_bad_files(tmp_path, files, expected):
    assert expected in told(put(tmp_path, **files))


def test_includes_end(tmp_path):
    for k in range(12):
        (tmp_path / f"{k}.conf").write_text(f"include {k + 1}.conf\n")
    (tmp_path / "12.conf").write_text("")
    assert "8 deep" in told(tmp_path / "0.conf")


def test_what_show_prints_means_the_same(tmp_path):
    text = BASE + "clients {\n    allow 10.0.0.0/8 ::1\n    allow 127.0.0.1\n    deny 10.1.0.0/16\n    ping 1m\n}\n"
    config = load_text(text, "x.conf", tmp_path)
    shown = show(config.effective())
    assert "    aim 1200ms                              # x.conf:8" in shown.splitlines()
    assert "# default" in shown and 'partner "Hotel \\"A\\"" {' in shown
    again = load_text(shown, "again", tmp_path)
    assert again.file == config.file
    assert "# default" not in show(config.effective(), defaults=False)


def test_diff_names_what_changed(tmp_path):
    old = as_rows(load_text(BASE, "old", tmp_path).effective())
    changed = BASE.replace("5/s", "6/s").replace("zone room-a\n", "zone room-b\n")
    new = as_rows(load_text(changed, "new", tmp_path).effective())
    assert differ(old, old) == []
    changes = {tuple(c["path"]): (c["before"], c["after"], c["origin"]) for c in differ(old, new)}
    assert changes == {
        ("zone",): (["room-a"], ["room-b"], "new:2"),
        ("plan", "teljes", "rate"): (["5/s"], ["6/s"], "new:12"),
    }
    without = as_rows(load_text(BASE.split("partner ")[0], "new", tmp_path).effective())
    assert {(c["path"][0], c["after"]) for c in differ(old, without)} == {("partner", None)}


PRICES = (
    BASE
    + """\
limits {
    largest-request 20
}
pricing {
    default 0.5
}
cost booking {
    base 1
    per-kilobyte 0.1
    each trip.stops 0.5
    each trip.bags 0.25
    times people 0.25
    present return 2
    least 1.5
}
cost "fleet.{what}" {
    base 3
    most 4
}
"""
)


def test_prices(tmp_path):
    config = load_text(PRICES, "x.conf", tmp_path)
    rules = config.costs()
    body = {"trip": {"stops": [1, 2], "bags": [1]}, "people": 2}
    assert rules.price_rpc("booking", body).amount == 1000 + 4 + 1000 + 250 + 500
    assert rules.price_rpc("booking", {}).amount == 1500 and rules.price_rpc("look", None).amount == 500
    assert rules.price_rpc("booking", {"trip": {"stops": [0] * 1000}}).amount == 20_000
    assert rules.price_rpc("fleet.status", None).rule.location == "x.conf:34"
    again = load_text(show(config.effective()), "again", tmp_path)
    assert again.file == config.file
    assert load_text(BASE, "x", tmp_path).costs() is None


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (("base 3", "base 3.0001"), "x.conf:35:10: cost fleet.{what} base: expected an amount such as 2 or 0.25"),
        (('"fleet.{what}"', '"fleet.{1}"'), "x.conf:34:6: cost: '{1}' is no segment"),
        (('"fleet.{what}"', '"fleet.**.x"'), "** can only stand last"),
        (("each trip.bags 0.25", "each trip..bags 0.25"), "expected a field such as trip.stops"),
        (("most 4", "most 4\n    least 5"), "least: no more than most"),
        (("base 3\n", "base 3\n    colour red\n"), "colour: not known here"),
    ],
)
def test_bad_prices(tmp_path, change, expected):
    assert change[0] in PRICES
    with pytest.raises(ConfigError) as caught:
        load_text(PRICES.replace(*change), "x.conf", tmp_path)
    assert expected in str(caught.value)
