"""The checker alone, on records made by hand: what it must flag, and what it must not."""

from __future__ import annotations

import pytest

from rushweir.lab.checker import check
from rushweir.lab.records import Recorder, read, read_all

FACTS = {
    "t": 0.0, "e": "facts", "second_copies": False,
    "classes": {
        "look": {"deadline": 3000.0, "repeat": "safe", "group": "all", "window": 0.0},
        "book": {"deadline": 3000.0, "repeat": "keyed", "group": "zone", "window": 2000.0},
        "pay": {"deadline": 3000.0, "repeat": "unsafe", "group": "all", "window": 0.0},
    },
    "plans": {"capped": {"ceiling_rate": 10.0, "ceiling_burst": 5.0, "ceiling_slack": 1.0}, "wide": {}},
    "partners": {"c": "capped", "w": "wide"},
    "rules": {"drain_grace": 1000.0, "answer_slack": 8.0},
}  # fmt: skip
UP = {"e": "up", "node": "n", "room": "a", "cold": True, "cores": 2, "speed": 1.0, "cold_from": 0.25,
      "cold_ms": 8000.0, "fall_multiple": 3.0, "fall_ms": 1500.0}  # fmt: skip


def ask(t, id=1, cls="look", within=1000.0, client=1, ingress=0):
    return {"t": t, "e": "ask", "client": client, "ingress": ingress, "id": id, "cls": cls, "within": within,
            "units": 1, "tag": f"k{id}"}  # fmt: skip


def answer(t, id=1, kind="served", client=1):
    return {"t": t, "e": "answer", "client": client, "id": id, "kind": kind, "why": ""}


def arrive(t, id=1, n=0, cls="look", node="n", room="a", ingress=0, work=50.0, partner="w", within=900.0):
    where = {"node": node, "room": room, "ingress": ingress}
    return {"t": t, "e": "arrive", **where, "req": f"r{id}", "n": n, "cls": cls,
            "partner": partner, "key": "", "work": work, "units": 1.0, "within": within, "tag": f"k{id}"}  # fmt: skip


def end(t, id=1, n=0, how="ok", node="n"):
    return {"t": t, "e": "end", "node": node, "req": f"r{id}", "n": n, "how": how}


def told(t, state, ingress=0, since=None, full=False, node="n"):
    states = {} if state is None else {node: state}
    return {"t": t, "e": "told", "ingress": ingress, "full": full, "states": states, "since": since or {}}


def broken(*records) -> list[int]:
    found = check([FACTS, *sorted(records, key=lambda r: r["t"]), {"t": 1e6, "e": "end_of_day"}])
    return [rule for rule, breaches in found.breaches.items() if breaches]


def test_rule_1():
    assert broken(ask(10), answer(900)) == []
    assert broken(ask(10), answer(900), answer(901)) == [1]
    assert broken(ask(10), answer(1030)) == [1]
    assert broken(ask(10, within=None), answer(3000)) == []
    assert broken(ask(10)) == [1]
    assert broken(answer(5, id=77)) == [1]
    lost = {"t": 100.0, "e": "lost", "client": 1, "code": None}
    opened = {"t": 1.0, "e": "open", "client": 1, "ingress": 0}
    killed = {"t": 90.0, "e": "killed", "ingress": 0}
    assert broken(opened, ask(10), lost) == [1]
    assert broken(opened, ask(10), killed, lost) == []
    assert broken(opened, ask(95), killed, lost) == []  # asked before it noticed
    assert broken(opened, ask(10), {**killed, "ingress": 1}, lost) == [1]
    assert broken(opened, ask(10), {"t": 50.0, "e": "leave", "client": 1}, lost) == []


def test_rule_2_unsafe():
    two = (ask(10, cls="pay"), arrive(20, cls="pay"), arrive(300, n=1, cls="pay", node="m"), answer(400))
    assert broken(*two, end(100, how="error"), end(350, n=1, node="m")) == [2]
    assert broken(*two, end(100, how="full"), end(350, n=1, node="m")) == []
    assert broken(ask(10, cls="pay"), arrive(20, cls="pay"), end(50, how="error"), answer(60, kind="failed")) == []
    assert broken(ask(10, cls="pay"), arrive(20, cls="pay"), end(50, how="error"), answer(60, kind="refused")) == [2]


def test_rule_2_keyed():
    def day(room="a", t=300.0, within=2900.0):
        first = (ask(10, cls="book", within=2900.0), arrive(20, cls="book", within=within), end(200, how="lost"))
        again = arrive(t, n=1, cls="book", node="m", room=room)
        return (*first, again, end(t + 10, n=1, node="m"), answer(t + 20))

    assert broken(*day()) == []
    assert broken(*day(room="b")) == [2]
    assert broken(*day(t=2200.0)) == [2]
    assert broken(*day(t=2050.0)) == []


def test_rule_2_two_at_once_and_after_the_end():
    first = (ask(10), arrive(20))
    assert broken(*first, arrive(100, n=1, node="m"), end(400), end(300, n=1, node="m"), answer(450)) == [2]
    assert broken(*first, arrive(100, n=1, node="m"), end(90), end(300, n=1, node="m"), answer(350)) == []
    assert broken(*first, end(50), answer(60), arrive(200, n=1, node="m"), end(210, n=1, node="m")) == [2]
    silent = {"t": 50.0, "e": "fault", "node": "n", "name": "silent"}
    assert broken(*first, silent, arrive(100, n=1, node="m"), end(300, n=1, node="m"), answer(350)) == []


def test_rule_3():
    base = (told(0.0, "ready"), ask(10, id=1), answer(900, id=1))
    assert broken(*base, told(100, "draining"), arrive(1000), end(1001)) == [2]  # in the grace; after its answer
    late = (ask(2000, id=2), arrive(2010, id=2), end(2020, id=2), answer(2030, id=2))
    assert broken(told(100, "draining"), *late) == [3]
    assert broken(told(100, "gone"), *late) == [3]
    assert broken(told(0, "ready"), told(100, None, full=True), *late) == [3]
    assert broken(told(100, "draining"), told(500, "ready"), *late) == []
    assert broken(told(100, "draining", ingress=1), *late) == []
    assert broken(told(950, "draining"), *late) == []


@pytest.mark.parametrize("informed", [True, False])
def test_rule_4(informed):
    up = {**UP, "t": 100.0}
    news = told(150, "ready", since={"n": 100.0}) if informed else told(150, "ready")
    flood = []
    for k in range(60):  # 3,000 ms of work in 600 ms; 2,250 and a little are allowed at a quarter of two cores
        t = 200.0 + k * 10
        flood += [ask(t, id=k), arrive(t + 1, id=k), end(t + 5, id=k), answer(t + 6, id=k)]
    assert broken(up, news, *flood) == ([4] if informed else [])
    assert broken({**up, "cold": False}, news, *flood) == []
    assert broken(up, news, *flood[: 4 * 30]) == []
    fell = {"t": 300.0, "e": "fell", "node": "n"}
    assert broken(up, news, *flood[:8], fell) == ([4] if informed else [])


def test_rule_5():
    def burst(n, gap):
        out = []
        for k in range(n):
            t = 10.0 + k * gap
            out += [ask(t, id=k), arrive(t + 1, id=k, partner="c", ingress=k % 3)]
            out += [end(t + 2, id=k), answer(t + 3, id=k)]
        return out

    assert broken(*burst(6, 1)) == []
    assert broken(*burst(9, 1)) == [5]
    assert broken(*burst(60, 100)) == []
    retry = [arrive(300, id=0, n=1, partner="c", node="m"), end(310, id=0, n=1, node="m")]
    assert 5 not in broken(*burst(6, 1), *retry)  # further attempts of a try draw nothing


def test_nothing_seen_is_not_kept():
    found = check([FACTS])
    assert all("not seen" in line for line in found.lines())
    with pytest.raises(ValueError, match="facts"):
        check([{"t": 1.0, "e": "ask"}])


def test_records_on_disk(tmp_path):
    log = Recorder(tmp_path / "a.jsonl")
    log.note("x", a=1)
    log.note("y", t=0.5)
    log.close()
    with open(tmp_path / "a.jsonl", "ab") as file:
        file.write(b'{"t": 3')  # its writer was killed
    assert [r["e"] for r in read_all(tmp_path)] == ["y", "x"]
    (tmp_path / "b.jsonl").write_bytes(b"nonsense\n")
    with pytest.raises(ValueError, match="b.jsonl:1"):
        list(read(tmp_path / "b.jsonl"))
