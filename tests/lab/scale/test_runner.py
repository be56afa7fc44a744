"""The roles' registry, the runner's output and its file."""

from __future__ import annotations

from pathlib import Path

import orjson
import pytest

from rushweir.lab.scale import registry, runner
from rushweir.lab.scale.bounds import DoesNotFit
from rushweir.lab.scale.children import ChildFailed
from rushweir.lab.scale.samples import Role, Sample

BY = "ingresses"


def role(name: str, trouble: Exception | None = None) -> Role:
    def measure(size: int) -> list[Sample]:
        if trouble is not None and size > 2:
            raise trouble
        return [Sample(name, "bytes", "B/s", BY, size, 10.0 * size, "core", 1.0)]

    return Role(name, f"the {name}", BY, (1, 2, 3, 4), measure)


def test_samples_go_to_a_file_that_says_where_they_come_from(tmp_path: Path):
    lines, file = [], tmp_path / "capacity.json"
    assert runner.run([role("one"), role("two")], (), file, "rushweir lab scale", lines.append) == 0
    told = orjson.loads(file.read_bytes())
    assert told["format"] == 1 and told["command"] == "rushweir lab scale"
    assert set(told) == {"format", "machine", "revision", "date", "command", "samples"}
    assert set(told["machine"]) == {"cores", "memory", "python", "system"}
    assert [(s["role"], s["size"], s["value"]) for s in told["samples"]] == [
        (name, k, 10.0 * k) for name in ("one", "two") for k in (1, 2, 3, 4)
    ]
    assert Sample(**told["samples"][0]) == Sample("one", "bytes", "B/s", BY, 1, 10.0, "core", 1.0)
    assert any("bytes" in x and "10         20         30         40" in x for x in lines), lines


def test_sizes_given_are_measured_instead_of_a_roles_own(tmp_path: Path):
    file = tmp_path / "capacity.json"
    assert runner.run([role("one")], (7, 9), file, "", lambda _: None) == 0
    assert [s["size"] for s in orjson.loads(file.read_bytes())["samples"]] == [7, 9]


def test_a_role_that_fails_is_named_and_the_others_are_measured(tmp_path: Path):
    lines, file = [], tmp_path / "capacity.json"
    roles = [role("bad", ChildFailed("it ended")), role("good")]
    assert runner.run(roles, (), file, "", lines.append) == 1
    assert [s["role"] for s in orjson.loads(file.read_bytes())["samples"]] == ["bad"] * 2 + ["good"] * 4
    assert sum("failed: bad at 3: ChildFailed: it ended" in x for x in lines) == 2  # when it happened, and at the end


def test_a_size_that_does_not_fit_ends_the_run_and_writes_nothing(tmp_path: Path):
    lines, file = [], tmp_path / "capacity.json"
    assert runner.run([role("big", DoesNotFit("too much"))], (), file, "", lines.append) == 2
    assert not file.exists() and "does not fit this machine: too much" in lines[-1]


def test_what_does_not_fit_is_refused_before_anything_is_measured(tmp_path: Path):
    lines, file, asked = [], tmp_path / "capacity.json", []
    first = Role("first", "first", BY, (1, 2, 3, 4), lambda size: asked.append(size) or [])
    member = registry.roles()["member"]
    assert runner.run([first, member], (25, 100_000), file, "", lines.append) == 2
    assert "does not fit this machine: member at 100000: " in lines[-1] and asked == []
    assert runner.run([first, member], (4, 2), file, "", lines.append) == 2
    assert "member at 2: 2 members: 3 hollow ones at least" in lines[-1] and asked == []


def test_all_roles_have_names_of_their_own_and_four_sizes():
    roles = registry.roles()
    assert {"ingress", "mail", "member", "seed", "chair", "budgets", "watcher", "check", "request", "list",
            "event-rack", "event-zone", "event-split", "event-roll", "event-roll-fast"} <= set(roles)  # fmt: skip
    assert all(len(set(r.sizes)) >= 4 and r.name == name for name, r in roles.items())


def test_all_roles_measured_by_calls_are_taken_in_rounds():
    roles = registry.roles()
    assert {"decisions", "newcomer", "list_alone", "settings_alone"} <= {n for n, r in roles.items() if r.rounds == 3}
    assert {roles[n].rounds for n in ("ingress", "rate", "request", "settings_burst")} == {1}


def test_two_roles_of_one_name_are_refused(monkeypatch):
    monkeypatch.setattr(registry, "MODULES", ("roles", "roles"))
    with pytest.raises(ValueError, match="two roles have the name ingress"):
        registry.roles()
