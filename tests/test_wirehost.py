"""The simulator's adapter on lines written by hand."""

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
    """Serve lines; returns the exit code, the replies of each batch and the errors."""
    replies, errors = [], []
    raw = [line if isinstance(line, bytes) else json.dumps(line).encode() for line in lines]
    code = serve(raw, replies.append, errors.append)
    return code, [[json.loads(line) for line in reply.splitlines()] for reply in replies], errors


def test_empty_batch_is_answered():
    assert run({"op": "CLOCK", "atTimeMs": 1.5}, END) == (0, [[{"op": "END"}]], [])


def test_request_is_sent_and_its_outcome_ends_it():
    done = {"op": "RESOLVED", "who": 0, "tid": "t1", "backend": "h:1", "stateCode": "GOOD", "settled": True}
    code, replies, _ = run({"op": "CLOCK", "atTimeMs": 1}, BEGIN, SHEET, UPDATE, REQ, END, done, END)
    tries = [m for m in replies[0] if m["op"] == "TRY"]
    assert code == 0
    assert [(m["tid"], m["backend"], m["who"]) for m in tries] == [("t1", "h:1", 0)]
    assert replies[1] == [{"op": "END"}]


def test_server_lists_apply_in_event_order():
    other = {**SHEET, "membersList": [{"backend": "h:2", "health": "SERVING"}]}
    _, replies, _ = run({"op": "CLOCK", "atTimeMs": 1}, BEGIN, SHEET, UPDATE, other, REQ, END)
    assert [m["backend"] for m in replies[0] if m["op"] == "TRY"] == ["h:1"]


def test_down_and_begin_in_one_batch_start_without_a_server_list():
    down = {"op": "DOWN", "who": 0}
    _, replies, _ = run({"op": "CLOCK", "atTimeMs": 1}, BEGIN, SHEET, UPDATE, down, BEGIN, REQ, END)
    assert [m["op"] for m in replies[0] if "tid" in m] == ["DECLINE"]


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        (b"{nonsense", "line 2"),
        ({"op": "WHAT", "who": 0}, "WHAT"),
        ({"op": "UPDATE", "who": 0, "scope": "cached", "sheet": 9}, "9"),
        ({**REQ, "tid": None, "class": 3, "who": 5}, "5"),
        ({k: v for k, v in REQ.items() if k != "notAfterMs"}, "notAfterMs"),
    ],
)
def test_malformed_line_is_reported_and_ends_the_run(line, expected):
    code, _, errors = run({"op": "CLOCK", "atTimeMs": 1}, line, END)
    assert code == 2
    assert expected in errors[0]


def test_exception_of_the_policy_is_reported_as_a_fault():
    bad = {**BEGIN, "options": {**OPTIONS, "classes": []}}
    code, replies, _ = run({"op": "CLOCK", "atTimeMs": 1}, bad, END)
    assert code == 0
    assert replies[0][0]["op"] == "FAULT"
    assert "classes" in replies[0][0]["message"]
