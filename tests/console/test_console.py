"""The console without sockets: who may look, what pages show, what they never do."""

from __future__ import annotations

import re
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rushweir.console.app import COOKIE, App, Login, Page
from rushweir.console.charts import chart, nice
from rushweir.console.http import MOST_BODY, HttpConnection, HttpError, Request, Response
from rushweir.console.sessions import (
    GUESS_MS,
    GUESSES,
    MOST_SESSIONS,
    Sessions,
    UsersError,
    check_password,
    hash_password,
    read_users,
)
from rushweir.ingress.commands import AnswerKind
from rushweir.watch.telemetry import Telemetry

EVIL = '<script>alert("x")</script>\x1b[2J\u202e\'"&'


# --- who may look -----------------------------------------------------------------------------------


def test_passwords():
    kept = hash_password("tölgy")
    assert check_password("tölgy", kept) and not check_password("tolgy", kept)
    assert kept != hash_password("tölgy")
    for broken in ("", "scrypt$1", "scrypt$x$8$1$AA$AA", "scrypt$16777216$8$1$AA$AA", "md5$1$1$1$AA$AA"):
        assert not check_password("tölgy", broken)


def test_users_file():
    kept = hash_password("a")
    assert read_users(f"# night shift\n\nmaria:{kept}  # first\npéter".replace("péter", f"p.b:{kept}")) == {
        "maria": kept, "p.b": kept,
    }  # fmt: skip
    for text, line in ((f"a:{kept}\nb", 2), (f"a:{kept}\n\na:{kept}", 3), (f"a b:{kept}", 1), ("a:plain", 1)):
        with pytest.raises(UsersError, match=f"line {line}:"):
            read_users(text)


def test_sessions_end_and_are_bounded():
    sessions = Sessions(1000.0)
    token = sessions.begin(0.0, "maria")
    assert sessions.find(999.0, token).user == "maria" and sessions.find(0.0, token + "x") is None
    assert sessions.find(1000.0, token) is None and not sessions.held
    tokens = [sessions.begin(0.0, "m") for _ in range(MOST_SESSIONS + 5)]
    assert len(sessions.held) == MOST_SESSIONS and sessions.find(1.0, tokens[0]) is None
    sessions.end(tokens[-1])
    assert sessions.find(1.0, tokens[-1]) is None
    assert all(t.encode() not in sessions.held for t in tokens)


def test_guessing_has_a_brake_by_address_and_by_name():
    sessions = Sessions(1000.0)
    for _ in range(GUESSES):
        assert sessions.may_try(0.0, "address a", "user m")
        sessions.guessed(0.0, "address a", "user m")
    assert not sessions.may_try(0.0, "address a", "user other") and not sessions.may_try(0.0, "address b", "user m")
    assert sessions.may_try(0.0, "address b", "user other")
    assert sessions.may_try(GUESS_MS + 1, "address a", "user m")
    for k in range(10_000):
        sessions.guessed(0.0, f"address {k}")
    assert len(sessions.wrong) <= 2000


# --- HTTP -------------------------------------------------------------------------------------------


def test_a_request_in_any_pieces():
    raw = (b"POST /nodes/drain?x=1 HTTP/1.1\r\nHost: h\r\nCookie: a=1; rushweir_session=t=k\r\n"
           b"Content-Type: application/x-www-form-urlencoded\r\nContent-Length: 19\r\n\r\n"
           b"address=n%3A1&b=%2B")  # fmt: skip
    for size in (1, 7, len(raw)):
        http, found = HttpConnection(), None
        for k in range(0, len(raw), size):
            found = http.receive(raw[k : k + size]) or found
        assert (found.method, found.path, found.query) == ("POST", "/nodes/drain", {"x": "1"})
        assert found.form == {"address": "n:1", "b": "+"} and found.cookies["rushweir_session"] == "t=k"
        out, goes_on = http.answer(Response(200, b"ok"))
        assert goes_on and out.endswith(b"ok")


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"\x16\x03\x01 nothing\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 20_000, 431),
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999\r\n\r\n" + b"x" * (MOST_BODY + 1), 413),
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}", 415),
        (b"GET /?" + b"a=1&" * 100 + b" HTTP/1.1\r\nHost: h\r\n\r\n", 400),
    ],
)
def test_bad_requests(raw, status):
    http = HttpConnection()
    with pytest.raises(HttpError) as caught:
        http.receive(raw)
    assert caught.value.status == status
    out, goes_on = http.answer(Response(status, b"why"), last=True)
    assert not goes_on and str(status).encode() in out


@given(st.binary(max_size=300))
def test_random_bytes_raise_nothing_else(data):
    http = HttpConnection()
    try:
        http.receive(data)
        http.receive(b"")
    except HttpError:
        pass


# --- pages ------------------------------------------------------------------------------------------


STATUS = {
    "ingress": 0, "serving": True, "why": "", "overload": 0, "nodes_ready": 1, "nodes": 1, "open_requests": 0,
    "attempts_out": 0, "clients": 0, "loop_delay_ms": 0.1, "list_age_ms": None, "faults": 0, "by_hand": [EVIL],
}  # fmt: skip
PARTNER = {"name": EVIL, "plan": EVIL, "served": 1, "refused": 2, "failed": 0, "left": 0, "units": 1.0, "store": 1.5,
           "burst": 3.0, "ceiling": None, "out": 0, "lately": 5, "lately_error": 1}  # fmt: skip
NODE = {"address": EVIL, "zone": EVIL, "cell": 0, "kind": EVIL, "weight": 1.0, "state": "ready", "by_hand": False,
        "warmth": 1.0, "out": 0, "slowness": 1.0, "aside": "its zone", "mean_ms": 1.0, "last_bad": "timeout",
        "results": {"ok": 5, "timeout": 2, "cancelled": 1}, "ok": 5, "bad": 2}  # fmt: skip
EVENT = {"number": 1, "at": 1e12, "level": "warning", "cause": EVIL, "fields": {EVIL: EVIL}}
COURSE = {"request": "b-1", "client_id": EVIL, "connection": 1, "class": EVIL, "partner": EVIL, "at": 1e12,
          "took_ms": 1.0, "kind": "failed", "why": EVIL,
          "attempts": [{"number": 0, "node": EVIL, "after_ms": 0.1, "result": "timeout", "took_ms": 3.0}],
          }  # fmt: skip


def slots() -> list[dict[str, Any]]:
    watch = Telemetry(0.0)
    for k in range(40):
        if k % 7:
            watch.history.answered(k * 10_000.0, AnswerKind.SERVED, "", 20.0 + k)
            watch.history.answered(k * 10_000.0, AnswerKind.REFUSED, EVIL, 0.0)
    watch.history.close_slots(400_000.0)
    return list(watch.history.slots)


LIST = {"total": 120, "first": 50}
ANSWERS: dict[str, Any] = {
    "nodes": {**LIST, "rows": [NODE]}, "partners": {**LIST, "rows": [PARTNER]}, "heaviest": [PARTNER],
    "refusals": {"rows": [{"reason": EVIL, "all": 3, "lately": 1}]}, "history": slots(), "events": [EVENT],
    "requests": [COURSE], "request": COURSE, "settings": [{"path": [EVIL], "words": [EVIL], "origin": EVIL}],
    "overview": {
        "status": STATUS, "rooms": [{"zone": EVIL, "nodes": 2, "ready": 1, "aside": 0, "out": 0, "ok": 1, "bad": 0}],
        "peers": [{"ingress": 1, "heard_ms": None}],
        "refusals": {"rows": [{"reason": EVIL, "all": 3, "lately": 1}]}, "heaviest": [PARTNER], "history": slots(),
        "classes": [{"name": EVIL, "aim_ms": 1, "served": 1, "refused": 0, "failed": 0, "left": 0, "mean_ms": 1}],
        "events": [EVENT],
    },
    "drain": {"address": "n:1", "state": "draining", "by_hand": True}, "metrics": "rushweir_x 1\n",
}  # fmt: skip
PAGES = ["/", "/nodes", "/partners", "/refusals", "/events", "/requests", "/request", "/settings"]


class Viewer:
    def __init__(self) -> None:
        self.app = App(Sessions(1e6))
        self.token = self.app.sessions.begin(0.0, "maria")
        self.session = self.app.sessions.find(0.0, self.token)
        self.asked: list[Any] = []

    def get(self, path: str, method: str = "GET", cookie: str | None = None, form=None, answers=None, **headers):
        query = dict(p.split("=", 1) for p in path.partition("?")[2].split("&") if p)
        cookie = f"{COOKIE}={self.token}" if cookie is None else cookie
        headers = {"host": "c:1", "cookie": cookie, **headers}
        planned = self.app.plan(Request(method, path.partition("?")[0], query, headers, form or {}, "1.2.3.4"), 5.0)
        if isinstance(planned, Page):
            self.asked = planned.questions
            return planned.render([(answers or ANSWERS)[m] for m, _ in planned.questions])
        return planned


@pytest.fixture
def viewer():
    return Viewer()


@pytest.mark.parametrize("path", PAGES)
def test_names_do_nothing_on_any_page(viewer, path):
    text = viewer.get(path + "?search=" + EVIL).body.decode()
    assert "<script>alert" not in text and "\x1b" not in text and "&lt;script&gt;" in text
    page = text.replace('<script src="/static/live.js" defer></script>', "")
    assert "<script" not in page and " on" + "click" not in page and "style=" not in page
    # No resource from elsewhere: links and actions stay on this host.
    assert all(u.startswith(("/", "")) and "//" not in u for u in re.findall(r'(?:src|href|action)="([^"]*)"', page))


@pytest.mark.parametrize("path", PAGES)
def test_a_fragment_is_the_main_part_of_its_page(viewer, path):
    whole, part = (viewer.get(path + q).body.decode() for q in ("", "?fragment=1"))
    assert "<html" in whole and "<html" not in part and part.strip() and len(part) < len(whole)
    assert "fragment" not in part


@pytest.mark.parametrize("path", [*PAGES, "/nowhere", "/login", "/static/style.css", "/static/live.js"])
def test_every_answer_forbids_what_it_does_not_need(viewer, path):
    headers = dict(viewer.get(path).headers)
    policy = headers["Content-Security-Policy"]
    assert "default-src 'none'" in policy and "unsafe" not in policy and "frame-ancestors 'none'" in policy
    assert headers["X-Content-Type-Options"] == "nosniff"


def test_strangers_see_the_login_and_nothing_else(viewer):
    for path in PAGES:
        answer = viewer.get(path, cookie="")
        assert answer.status == 303 and dict(answer.headers)["Location"].startswith("/login")
        assert viewer.get(path + "?fragment=1", cookie=f"{COOKIE}=guess").status == 401
    assert viewer.get("/nodes/drain", "POST", "", {"address": "n:1"}).status == 401
    assert viewer.get("/static/../app.py", cookie="").status == 303
    assert viewer.get("/metrics", cookie="").body == b"rushweir_x 1\n"
    viewer.app.metrics = False
    assert viewer.get("/metrics", cookie="").status == 303


def test_login(viewer):
    form = {"user": "maria", "password": "x"}
    planned = viewer.get("/login?to=/nodes", "POST", "", form)
    assert isinstance(planned, Login) and planned.user == "maria"
    good = planned.finish(True)
    cookie = dict(good.headers)["Set-Cookie"]
    assert dict(good.headers)["Location"] == "/nodes" and "HttpOnly" in cookie and "SameSite=Strict" in cookie
    assert viewer.get("/nodes", cookie=cookie.split(";")[0]).status == 200
    for away in ("//evil.example/", "https://evil.example/", "/\\evil.example"):
        assert dict(viewer.get(f"/login?to={away}", "POST", "", form).finish(True).headers)["Location"] == "/"
    for _ in range(GUESSES):
        assert viewer.get("/login", "POST", "", form).finish(False).status == 403
    assert viewer.get("/login", "POST", "", form).status == 429
    assert viewer.get("/login", "POST", "", form, origin="http://evil.example").status == 403


def test_actions_need_the_sessions_own_token_and_origin(viewer):
    form = {"address": "n:1", "search": "a b", "csrf": viewer.session.csrf}
    answer = viewer.get("/nodes/drain", "POST", form=form, origin="http://c:1")
    assert answer.status == 303 and dict(answer.headers)["Location"] == "/nodes?search=a+b"
    assert viewer.asked == [("drain", {"address": "n:1"})]
    viewer.asked = []
    for bad in ({**form, "csrf": ""}, {**form, "csrf": "ö"}, {k: v for k, v in form.items() if k != "csrf"}):
        assert viewer.get("/nodes/drain", "POST", form=bad).status == 403
    assert viewer.get("/nodes/drain", "POST", form=form, origin="http://evil").status == 403
    assert viewer.get("/nodes/drain", "POST", form=form, origin="null").status == 403
    assert viewer.get("/nodes/erase", "POST", form=form).status == 404
    assert viewer.get("/nodes", "DELETE").status == 405
    assert not viewer.asked
    failed = viewer.get("/nodes/drain", "POST", form=form, answers={"drain": ValueError(EVIL)})
    assert failed.status == 409 and b"<script>alert" not in failed.body
    assert dict(viewer.get("/logout", "POST", form=form).headers)["Location"] == "/login"
    assert viewer.get("/").status == 303


def test_lists_are_paged_in_the_server(viewer):
    text = viewer.get("/nodes?first=50&search=x&order=out").body.decode()
    assert viewer.asked == [("nodes", {"search": "x", "first": 50, "count": 50, "order": "out"})]
    assert "51–51 of 120 nodes" in text and "/nodes?first=100&amp;search=x&amp;order=out" in text
    viewer.get("/nodes?first=-4&order=nix")
    assert viewer.asked[0][1] == {"search": "", "first": 0, "count": 50, "order": "address"}


def test_no_answer_of_the_daemon_is_said(viewer):
    answer = viewer.get("/", answers={"overview": OSError("the ingress does not answer")})
    assert answer.status == 502 and b"does not answer" in answer.body


# --- charts -----------------------------------------------------------------------------------------


def test_scales_end_at_a_round_figure():
    assert [nice(x) for x in (0, 1, 1.1, 3, 7, 10, 11, 99, 100, 420)] == [1, 1, 2, 5, 10, 10, 20, 100, 100, 500]


def test_gaps_and_lone_points():
    svg = chart("T", "ms", [("p50", [None, 1.0, 2.0, None, 4.0])])
    assert re.findall(r'points="([^"]*)"', svg) == ["356,47.4 357,35.8", "359,12.6 359.5,12.6"]
    assert "p50 4" in svg and "top 5" in svg
    assert "-" in chart(EVIL, "ms", [("p50", [])]) or "<script>" not in chart(EVIL, "ms", [("p50", [])])


@given(st.lists(st.one_of(st.none(), st.floats(0, 1e6)), max_size=500))
def test_charts_stay_inside(values):
    for points in re.findall(r'points="([^"]*)"', chart("T", "ms", [("x", values)])):
        for point in points.split():
            x, y = map(float, point.split(","))
            assert 0 <= x <= 360 and 0 <= y <= 60
