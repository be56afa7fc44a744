"""The adapter on lines written by hand."""

from __future__ import annotations

import json

import pytest

from rushweir.wirehost import serve

OPTIONS = {
    "me": 0, "instances": 2, "locality": "a", "unknown": 1,
    "classes": [{"name": "look", "aimMs": 800, "giveUpMs": 3000, "repeat": "read_like"}],
    "contracts": [{"name": "p", "unitsPerS": 5.0, "storeSize": 5.0}],
}  # fmt: skip
BEGIN = {"op": "BEGIN", "who": 0, "randomSeed": 1, "options": OPTIONS}
SHEET = {"op": "DIRECTORY", "sheet": 3, "membersList": [{"backend": "h:1", "health": "SERVING", "extra": 1}]}
UPDATE = {"op": "UPDATE", "who": 0, "scope": "cached", "sheet": 3}
REQ = {"op": "REQ", "who": 0, "tid": "t1", "class": "look", "plan": "p", "clientId": "c", "notAfterMs": 900,
       "quotaUnits": 1, "doors": 1}  # fmt: skip
END = {"op": "EOF_BATCH"}


def run(*lines):
    replies, complaints = [], []
    raw = [x if isinstance(x, bytes) else json.dumps(x).encode() for x in lines]
    code = serve(raw, replies.append, complaints.append)
    return code, [[json.loads(x) for x in r.splitlines()] for r in replies], complaints


def test_empty_batch_is_answered():
    assert run({"op": "CLOCK", "atTimeMs": 1.5}, END) == (0, [[{"op": "END"}]], [])


def test_request_is_tried_and_outcome_closes_it():
    done = {"op": "RESOLVED", "who": 0, "tid": "t1", "backend": "h:1", "stateCode": "GOOD", "settled": True}
    code, replies, _ = run({"op": "CLOCK", "atTimeMs": 1}, BEGIN, SHEET, UPDATE, REQ, END, done, END)
    tries = [m for m in replies[0] if m["op"] == "TRY"]
    assert code == 0
    assert [(m["tid"], m["backend"], m["who"]) for m in tries] == [("t1", "h:1", 0)]
    assert replies[1] == [{"op": "END"}]


def test_sheets_resolve_in_event_order():
    other = {**SHEET, "membersList": [{"backend": "h:2", "health": "SERVING"}]}
    _, replies, _ = run({"op": "CLOCK", "atTimeMs": 1}, BEGIN, SHEET, UPDATE, other, REQ, END)
    assert [m["backend"] for m in replies[0] if m["op"] == "TRY"] == ["h:1"]


def test_down_forgets_and_begin_starts_empty_in_one_batch():
    down = {"op": "DOWN", "who": 0}
    _, replies, _ = run({"op": "CLOCK", "atTimeMs": 1}, BEGIN, SHEET, UPDATE, down, BEGIN, REQ, END)
    assert [m["op"] for m in replies[0] if "tid" in m] == ["DECLINE"]


@pytest.mark.parametrize(
    ("line", "word"),
    [
        (b"{nonsense", "line 2"),
        ({"op": "WHAT", "who": 0}, "WHAT"),
        ({"op": "UPDATE", "who": 0, "scope": "cached", "sheet": 9}, "9"),
        ({**REQ, "tid": None, "class": 3, "who": 5}, "5"),
        ({k: v for k, v in REQ.items() if k != "notAfterMs"}, "notAfterMs"),
    ],
)
def test_malformed_line_is_named_and_ends_the_run(line, word):
    code, _, complaints = run({"op": "CLOCK", "atTimeMs": 1}, line, END)
    assert code == 2
    assert word in complaints[0]


def test_module_exception_becomes_a_fault():
    bad = {**BEGIN, "options": {**OPTIONS, "classes": []}}
    code, replies, _ = run({"op": "CLOCK", "atTimeMs": 1}, bad, END)
    assert code == 0
    assert replies[0][0]["op"] == "FAULT"
    assert "classes" in replies[0][0]["message"]
