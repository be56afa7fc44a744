"""Settings by object: splitting a text into blocks, and reading only the changed ones, equals reading all of it."""

from __future__ import annotations

import re
from pathlib import Path

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from pydantic import ValidationError

from rushweir.config import ConfigError, live, load_text, models, reader, reading
from rushweir.config.load import checked, effective_of
from rushweir.config.objects import Refused, data_of, decode, difference, encode, objects
from rushweir.config.reading import Reading, block, problem_of
from rushweir.config.split import split
from rushweir.config.text import Problem, Spot, parse
from rushweir.costs.decisions import CostRules
from rushweir.fronts.credentials import digest
from rushweir.rollout.change_sets import Change

HEAD = "ingress 0 4\nzone a\nlisten 127.0.0.1:0\nlist {\n    url ws://127.0.0.1:7000/l\n}\n"
HEAD += 'class c {\n    aim 1s\n    deadline 2s\n}\nplan gold {\n    rate 5/s\n    burst 9\n}\nplan "tin foil" {\n}\n'
TAIL = "limits {\n    largest-request 20\n}\n"
CREDENTIALS = [digest(str(k)).removeprefix("sha256:") for k in range(6)]


def partner(name: str, plan: str = "gold", key: int = 0, more: str = "") -> str:
    return f"partner {name} {{\n    plan {plan}\n    credential sha256:{CREDENTIALS[key]}\n{more}}}\n"


BLOCKS = [
    *(
        partner(n, p, k)
        for n, p, k in (("a", "gold", 0), ("b", '"tin foil"', 1), ('"a b"', "gold", 2), ("c", "gold", 3))
    ),
    partner("d", "gold", 4, "    through 1 2\n"),
    partner("d", "gold", 4, "  through  1   2\n"),
    partner("a", "gold", 5),
    partner("e", "gold", 0),
    partner("f", "lead", 5),
    partner("g", "gold", 5, "    through 9 1\n"),
    partner("h", "gold", 5, "    # why } {\n\n").replace("plan gold", "plan gold # here"),
    partner("k", "gold", 5).replace("\n", "\r\n"),
    partner("l", "gold", 5, "    colour red\n"),
    partner("m", "gold", 5, "    plan gold\n"),
    partner("n", "gold", 5).replace("sha256:", "sha255:"),
    "  partner\to {\n\tcredential sha256:" + CREDENTIALS[5] + "\n plan gold\n }  # end\n",
    "partner p {\n}\n",
    "partner {\n}\n",
    partner("q" * 129, "gold", 5),
    partner('""', "gold", 5),
    "partner r\n",
    partner("s t", "gold", 5),
    'cost "POST /a/{id}" {\n    base 2\n    each trip.stops 0.5\n    each x 1\n    most 4\n}\n',
    'cost "POST /a/{no}" {\n}\n',
    "cost a.b {\n    base 2\n    least 9\n    most 1\n}\n",
    "cost a.** {\n    per-kilobyte 0.1\n}\n",
    "cost a..** {\n    present y 3\n    times z 1\n}\n",
    'cost "a.{x}" {\n    base 2.0001\n}\n',
    'cost "a.{y}" {\n    least 1\n}\n',
    "plan more {\n    burst 2\n}\n",
    "clients {\n    ping 1m\n}\n",
    "# nothing\n",
    "\n",
    "   \n",
    "nodes {\n",
    "}\n",
    "{\n",
    '"x" {\n',
    'partner t {\n    "plan" gold\n}\n',
    "list {\n" + partner("u", "gold", 5) + "}\n",
    'zone "a\n',
    "zone \x0b\n",
    "partner v { plan gold }\n",
    "partner w {\n    plan gold }\n",
    "include nowhere.conf\n",
    "partner x {\n include y\n}\n",
    "partner \x85 {\n}\n",
    "plan {\n}\n",
    'x "\x85 y" # \x0c \r z\n',
    "}}\n",
    "partner y {\n    plan {\n    }\n}\n",
]
TEXTS = st.lists(st.sampled_from(BLOCKS), max_size=7).map("".join)


def read_all_at_once(text: str):
    """Return the settings and the place of each by one parse and one model of all text. Raises ConfigError."""
    spots: dict = {}
    problems: list[Problem] = []
    directives = parse(text, "x.conf")
    for directive in [*directives, *(x for k in directives for x in k.inner or ())]:
        if directive.name == "include":
            raise ConfigError([])  # reads files; it has a test of its own
    raw = block(models.File, directives, (), spots, problems, top=True)
    file = None
    try:
        file = models.File.model_validate(raw)
    except ValidationError as invalid:
        for error in invalid.errors():
            problems.append(problem_of(error, spots, Spot("x.conf", 1, 1), problems))
    if file is not None:
        digests: dict = {}
        rules = CostRules(None)
        for name, found in file.partners.items():
            at = ("partners", name)
            if found.plan not in file.plans:
                known = ", ".join(file.plans)
                problems.append(
                    Problem(spots[(*at, "plan")], f"partner {name}: no plan {found.plan!r}; known are {known}")
                )
            if found.through[0] >= 4 or found.through[1] > 4:
                problems.append(Problem(spots[(*at, "through")], f"partner {name}: through: 4 ingresses there are"))
            if (other := digests.setdefault(found.credential, name)) != name:
                text = f"partner {name}: the credential is that of {other}"
                problems.append(Problem(spots[(*at, "credential")], text))
        for route in file.costs:
            try:
                rules.routes.add(route, route)
            except ValueError as error:
                problems.append(Problem(spots[("costs", route)], f"cost: {error}"))
    if problems := list(dict.fromkeys(p for p in problems if p.text)):
        raise ConfigError(problems)
    return file, list(effective_of(file, (), spots))


def messages_of(error: ConfigError) -> str:
    return str(ConfigError(error.problems))


def outcome(read, text: str):
    try:
        return read(text)
    except ConfigError as error:
        return messages_of(error)


def read_by_blocks(text: str):
    config = load_text(text, "x.conf", Path("."))
    return config.file, list(config.effective())


@settings(max_examples=500, deadline=None, derandomize=True)
@given(
    st.booleans(),
    TEXTS,
    st.integers(0, 400),
    st.sampled_from(["", "", "", "\n", "}", "{", '"', "#", " ", "\r", "\x00"]),
)
@example(False, BLOCKS[0] + "nodes {\n" + BLOCKS[1], 0, "")
@example(False, "list {\n" + BLOCKS[0], 0, "")
@example(False, BLOCKS[0].rstrip("\n"), 0, "")
def test_reading_by_blocks_equals_reading_all_at_once(tail, text, cut, inserted):
    """The same settings at the same places, or the same errors at the same line and column."""
    at = len(HEAD) + cut % (len(text) + 1)
    text = HEAD + text + TAIL * tail
    text = text[:at] + inserted + text[at:]
    if re.search(r"\binclude\b", text):
        return
    expected, found = outcome(read_all_at_once, text), outcome(read_by_blocks, text)
    if isinstance(expected, str) or isinstance(found, str):
        assert found == expected
    else:
        assert (found[0], sorted(found[1], key=str)) == (expected[0], sorted(expected[1], key=str))


def test_split_takes_blocks_out_and_keeps_the_lines_of_the_rest():
    text = HEAD + "".join(BLOCKS[:5]) + TAIL
    rest, found = split(text)
    assert [r.name for r in found] == ["a", "b", "a b", "c", "d"]
    assert rest.count("\n") == text.count("\n") and "partner" not in rest
    for found_block in found:
        assert text.split("\n")[found_block.line - 1].startswith("partner")


def test_errors_and_places_of_included_text_name_its_file(tmp_path):
    (tmp_path / "key.conf").write_text(f"\n  credential sha256:{CREDENTIALS[0]}\n")
    (tmp_path / "all.conf").write_text(
        "partner a {\n    plan gold\n    include key.conf\n}\n" + partner("b", "gold", 0)
    )
    with pytest.raises(ConfigError) as refused:
        load_text(HEAD + "include all.conf\n", "x.conf", tmp_path)
    assert "all.conf:7:16: partner b: the credential is that of a" in str(refused.value)
    config = load_text(HEAD + "include all.conf\n".replace("all", "one"), "x.conf", with_one_conf(tmp_path))
    (spot,) = [s.spot for s in config.effective() if s.path == ("partner", "a", "credential")]
    assert spot.file.endswith("key.conf") and (spot.line, spot.column) == (2, 14)


def with_one_conf(folder: Path) -> Path:
    (folder / "one.conf").write_text("partner a {\n    plan gold\n    include key.conf\n}\n")
    return folder


# --- reading changes of known settings ---------------------------------------------------------------


def read_changes(known, text: str):
    """Read a text with the settings known before it, and apply the deltas to them."""
    found = Reading(text, "x.conf", Path("."), {group: getattr(known.file, group) for group in live.MANY})
    config = checked(found)
    for group in live.MANY:
        getattr(known.file, group).adopt(found.deltas[group])
    return config


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(st.lists(st.sampled_from(BLOCKS), max_size=8).map("".join), min_size=2, max_size=5))
def test_reading_changes_equals_reading_from_the_start(versions):
    """However settings change, they give the settings, places, credentials and prices of a process that starts with
    them; a refused text changes nothing."""
    versions = [HEAD + v for v in versions if "include" not in v]
    config = load_text(HEAD, "x.conf", Path("."))
    for text in versions:
        expected = outcome(lambda t: load_text(t, "x.conf", Path(".")), text)
        before = (dict(config.file.partners), dict(config.file.costs), set(config.effective()))
        found = outcome(lambda t: read_changes(config, t), text)  # noqa: B023 - called at once
        if isinstance(expected, str):
            assert found == expected
            assert (dict(config.file.partners), dict(config.file.costs), set(config.effective())) == before
            continue
        config = found
        assert config.file == expected.file and set(config.effective()) == set(expected.effective())
        assert config.file.partners.held.by_digest == expected.file.partners.held.by_digest
        assert config.file.partners.held.users == expected.file.partners.held.users
        assert {r.name for r in config.file.costs.routes} == set(config.file.costs)
        rpc = [n for n in config.file.costs if " " not in n]
        assert all(config.file.costs.routes.find(("rpc", *n.split("."))) is not None for n in rpc)


def test_unchanged_blocks_are_not_parsed(monkeypatch):
    text = HEAD + "".join(partner(f'"p {k}"', "gold", k) for k in range(6)) + BLOCKS[22]
    known = load_text(text, "x.conf", Path("."))
    seen = []
    parsed = reader.parse
    monkeypatch.setattr(reader, "parse", lambda *a: seen.append(a[0]) or parsed(*a))
    held = f"plan gold\n    credential sha256:{CREDENTIALS[3]}"
    config = read_changes(known, "\n\n" + text.replace(held, held.replace("gold", '"tin foil"')))
    assert len(seen) == 2 and "partner" not in seen[0] and "p 3" in seen[1]  # the text around, the changed partner
    assert config.file.partners["p 3"].plan == "tin foil" and config.spots[("partners", "p 5", "plan")].line > 30


def test_comparison_finds_a_split_that_loses_a_line(monkeypatch):
    """The injected fault removes a blank line."""
    monkeypatch.setattr(reader, "split", lambda t: (split(t)[0].replace("\n\n\n\n", "\n\n\n", 1), split(t)[1]))
    text = HEAD + BLOCKS[0] + TAIL
    assert outcome(read_by_blocks, text)[1] != outcome(read_all_at_once, text)[1]


# --- canonical encoding --------------------------------------------------------------------------------


FULL = (
    HEAD
    + "".join(BLOCKS[:5])
    + BLOCKS[22]
    + "cost a.b {\n    per-kilobyte 0.25\n    times x.y 2\n    least 1\n}\n"
    + TAIL
)
FULL += "clients {\n    allow 10.0.0.0/8\n    deny 10.1.0.0/16\n}\n"
FULL += "overload {\n    delay 20ms\n}\nrules {\n    cold-share 0.2\n}\n"
FULL += (
    "prices {\n    cross-zone 2\n}\npricing {\n    default 0.5\n}\nlog {\n    form json\n}\ntrace {\n    keep 7\n}\n"
)
FULL += "class d {\n    aim 1s\n    deadline 5s\n    repeat keyed\n    window 2s\n}\n"


def test_objects_are_decoded_and_encoded_again():
    config = load_text(FULL, "x.conf", Path("."))
    found = dict(objects(config))
    assert found["partner", "d"] == f"plan gold\ncredential sha256:{CREDENTIALS[4]}\nthrough 1 2\n".encode()
    assert found["plan", "tin foil"] == b"" and ("ingress", "") not in found and ("list", "") not in found
    for key in (("partner", "x"), ("zone", ""), ("trace", "y")):
        assert data_of(config, key) is None
    for (kind, name), data in found.items():
        assert data_of(config, (kind, name)) == data
        decoded = decode((kind, name), data)
        assert encode(decoded) == data
        expected = getattr(config.file, reading.NAMED[kind])[name] if name else getattr(config.file, kind)
        assert decoded == expected


def test_equal_settings_have_equal_encodings_however_they_are_written():
    written = FULL.replace("    plan gold\n", "  plan   gold # x\n").replace(
        "delay 20ms", "delay 0.02s\n    most 400ms"
    )
    assert dict(objects(load_text(written, "y", Path(".")))) == dict(objects(load_text(FULL, "x", Path("."))))
    other = dict(objects(load_text(FULL.replace("delay 20ms", "delay 21ms"), "x", Path("."))))
    assert difference(dict(objects(load_text(FULL, "x", Path(".")))), other) == [
        Change(("overload", ""), b"delay 21ms\n")
    ]


@pytest.mark.parametrize(
    ("key", "data", "field", "text"),
    [
        (("partner", "a"), b"plan gold\n", "credential", "is missing"),
        (("partner", "a"), b"plan gold\ncredential secret\n", "credential", "64 hex digits"),
        (("plan", "a"), b"rate 5\n", "rate", "a rate such as"),
        (("plan", "a"), b"rate 5/s\n", "", "burst: a plan with a rate needs one"),
        (("plan", "a"), b"rate 5/s\nrate 5/s\n", "rate", "stands twice"),
        (("plan", "a"), b"colour red\n", "colour", "not known here"),
        (("plan", ""), b"", "", "no name of one"),
        (("ingress", ""), b"", "", "no kind of settings"),
        (("limits", "x"), b"", "", "no kind of settings"),
        (("plan", "a"), b"rate {\n", "", "'}' is missing"),
        (("plan", "a"), b"\xff", "", "not the text"),
        (("plan", "a\x00"), b"", "", "no name"),
        (("cost", "a"), b"x" * 70_000, "", "more than 65536 bytes"),
    ],
)
def test_malformed_object_is_refused_with_name_and_field(key, data, field, text):
    with pytest.raises(Refused) as refused:
        decode(key, data)
    assert refused.value.wrong[0][:2] == (key, field) and text in str(refused.value)
