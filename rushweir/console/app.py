"""The console's pages: a request in, questions to the daemon and a page out. No I/O, no clock.

A page is planned first: who asks is checked, and what must be known is named as questions. Whoever drives this
asks the daemon, and hands the answers to ``render``. So the pages can be served from any process.
"""

from __future__ import annotations

import hmac
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from typing import Any
from urllib.parse import urlencode, urlsplit

import jinja2

from rushweir.console.charts import chart
from rushweir.console.http import Request, Response
from rushweir.console.sessions import Session, Sessions
from rushweir.link.text import printable

HERE = Path(__file__).parent
COOKIE = "rushweir_session"
ROWS = 50
STATIC = {"style.css": "text/css; charset=utf-8", "live.js": "text/javascript; charset=utf-8"}
SAFE = [
    # Nothing from elsewhere, nothing inline: text that got into a page by mistake would still do nothing.
    ("Content-Security-Policy", "default-src 'none'; style-src 'self'; script-src 'self'; connect-src 'self'; "
     "img-src 'self'; form-action 'self'; base-uri 'none'; frame-ancestors 'none'"),
    ("X-Content-Type-Options", "nosniff"), ("X-Frame-Options", "DENY"), ("Referrer-Policy", "same-origin"),
    ("Cross-Origin-Opener-Policy", "same-origin"), ("Cache-Control", "no-store"),
]  # fmt: skip
TABS = (("/", "Overview"), ("/nodes", "Nodes"), ("/partners", "Partners"), ("/refusals", "Refusals"),
        ("/requests", "Requests"), ("/events", "Events"), ("/settings", "Settings"))  # fmt: skip

Question = tuple[str, dict[str, Any]]


@dataclass
class Page:
    """A page to be: what must be asked, and how the answers become a response. A failed question's answer is an
    exception, which ``render`` shows."""

    questions: list[Question]
    render: Callable[[list[Any]], Response]
    fresh: bool = False  # an action: asked now, never from a cache


@dataclass
class Login:
    """A password to be checked (slowly, so beside everything else), then ``finish`` with the verdict."""

    user: str
    password: str
    finish: Callable[[bool], Response]


@dataclass
class App:
    """The console. ``now`` (milliseconds) is given with each request."""

    sessions: Sessions
    metrics: bool = True
    name: str = "rushweir"
    env: jinja2.Environment = field(init=False, repr=False)

    def __post_init__(self) -> None:
        loader = jinja2.FileSystemLoader(HERE / "templates")
        self.env = jinja2.Environment(
            loader=loader, autoescape=True, undefined=jinja2.StrictUndefined, trim_blocks=True, lstrip_blocks=True
        )
        self.env.filters |= {"clock": _clock, "ago": _ago, "short": _short, "fields": _fields, "printable": printable}
        self.env.globals |= {"tabs": TABS, "link": _link}
        self.static = {n: (HERE / "static" / n).read_bytes() for n in STATIC}

    # --- from a request to a page ----------------------------------------------------------------

    def plan(self, request: Request, now: float) -> Response | Page | Login:
        """What a request leads to."""
        path = request.path
        if path.startswith("/static/") and path[8:] in STATIC and request.method in ("GET", "HEAD"):
            name = path[8:]
            return Response(200, self.static[name], STATIC[name], [*SAFE[:-1], ("Cache-Control", "max-age=3600")])
        if path == "/metrics" and self.metrics and request.method in ("GET", "HEAD"):
            return Page([("metrics", {})], _metrics)
        session = self.sessions.find(now, request.cookies.get(COOKIE, ""))
        if path == "/login":
            return self._login(request, now)
        if session is None:
            if request.method in ("GET", "HEAD") and "fragment" not in request.query:
                return Response(303, headers=[*SAFE, ("Location", _link("/login", {"to": path}))])
            return self._page(401, "error.html", None, request, title="Not logged in", text="Log in first.")
        if request.method == "POST":
            return self._post(request, session, now)
        if request.method not in ("GET", "HEAD"):
            return Response(405, headers=[*SAFE, ("Allow", "GET, HEAD, POST")])
        return self._get(request, session)

    def _get(self, request: Request, session: Session) -> Response | Page:
        q, path = request.query, request.path
        first = _number(q.get("first", ""), 0)
        search = q.get("search", "")[:255]
        listed = {"search": search, "first": first, "count": ROWS}
        plans: dict[str, tuple[str, list[Question], Callable[[list[Any]], dict[str, Any]]]] = {
            "/": ("overview.html", [("overview", {})], lambda a: {"o": a[0], "charts": charts(a[0]["history"])}),
            "/nodes": (
                "nodes.html", [("nodes", {**listed, "order": _order(q.get("order", ""))})],
                lambda a: {"list": a[0], "order": _order(q.get("order", ""))},
            ),
            "/partners": ("partners.html", [("partners", listed), ("heaviest", {"count": 10})],
                          lambda a: {"list": a[0], "heaviest": a[1]}),
            "/refusals": ("refusals.html", [("refusals", {}), ("history", {})],
                          lambda a: {"rows": a[0]["rows"], "slots": a[1][-60:][::-1]}),
            "/events": ("events.html", [("events", {"count": 200, "search": search})], lambda a: {"rows": a[0]}),
            "/requests": (
                "requests.html", [("requests", {"count": 100, "wrong": q.get("what") != "sample"})],
                lambda a: {"rows": a[0], "what": "sample" if q.get("what") == "sample" else "wrong"},
            ),
            "/request": ("request.html", [("request", {"id": q.get("id", "")[:255]})], lambda a: {"r": a[0]}),
            "/settings": ("settings.html", [("settings", {})], lambda a: {"rows": _matching(a[0], search)}),
        }  # fmt: skip
        if path not in plans:
            return self._page(404, "error.html", session, request, title="No such page", text="It is not there.")
        template, questions, use = plans[path]

        def render(answers: list[Any]) -> Response:
            if bad := next((a for a in answers if isinstance(a, Exception)), None):
                return self._page(502, "error.html", session, request, title="No answer", text=str(bad))
            return self._page(200, template, session, request, search=search, **use(answers))

        return Page(questions, render)

    def _page(self, status: int, template: str, session: Session | None, request: Request, **more: Any) -> Response:
        base = "fragment.html" if "fragment" in request.query else "base.html"
        text = self.env.get_template(template).render(
            base=base, session=session, path=request.path, query=request.query, name=self.name, **more
        )
        return Response(status, text.encode("utf-8", "replace"), headers=list(SAFE))

    # --- who asks --------------------------------------------------------------------------------

    def _login(self, request: Request, now: float) -> Response | Login:
        to = request.query.get("to", "/")
        to = to if to.startswith("/") and not to.startswith(("//", "/\\")) else "/"  # never to another host
        if request.method != "POST":
            return self._page(200, "login.html", None, request, to=to, problem="")
        user, password = request.form.get("user", "")[:64], request.form.get("password", "")
        who = (f"address {request.address}", f"user {user}")
        if not _same_origin(request):
            return self._page(403, "login.html", None, request, to=to, problem="The form came from another site.")
        if not self.sessions.may_try(now, *who):
            problem = "Too many wrong passwords. Wait a minute."
            return self._page(429, "login.html", None, request, to=to, problem=problem)

        def finish(right: bool) -> Response:
            if not right:
                self.sessions.guessed(now, *who)
                return self._page(403, "login.html", None, request, to=to, problem="Wrong name or password.")
            # RFC 6265, 5.2: Strict keeps it out of every request that another site causes.
            cookie = f"{COOKIE}={self.sessions.begin(now, user)}; Path=/; HttpOnly; SameSite=Strict"
            age = int(self.sessions.lifetime / 1000)
            return Response(303, headers=[*SAFE, ("Set-Cookie", f"{cookie}; Max-Age={age}"), ("Location", to)])

        return Login(user, password, finish)

    def _post(self, request: Request, session: Session, now: float) -> Response | Page:
        """The few actions. Each needs the session's own token, which no other site can know."""
        given = request.form.get("csrf", "")
        if not hmac.compare_digest(given.encode(), session.csrf.encode()) or not _same_origin(request):
            return self._page(403, "error.html", session, request, title="Not done", text="The form was not ours.")
        if request.path == "/logout":
            self.sessions.end(request.cookies.get(COOKIE, ""))
            gone = ("Set-Cookie", f"{COOKIE}=; Path=/; HttpOnly; SameSite=Strict; Max-Age=0")
            return Response(303, headers=[*SAFE, gone, ("Location", "/login")])
        action = request.path.removeprefix("/nodes/")
        if action not in ("drain", "readmit"):
            return self._page(404, "error.html", session, request, title="No such action", text="Nothing was done.")

        def render(answers: list[Any]) -> Response:
            if isinstance(answers[0], Exception):
                return self._page(409, "error.html", session, request, title="Not done", text=str(answers[0]))
            back = _link("/nodes", {"search": request.form.get("search", "")[:255]})
            return Response(303, headers=[*SAFE, ("Location", back)])

        question = (action, {"address": request.form.get("address", "")[:255]})
        return Page([question], render, fresh=True)


def _metrics(answers: list[Any]) -> Response:
    if isinstance(answers[0], Exception):
        return Response(502, str(answers[0]).encode(), "text/plain; charset=utf-8", list(SAFE))
    return Response(200, answers[0].encode(), "text/plain; version=0.0.4; charset=utf-8", list(SAFE))


def _same_origin(request: Request) -> bool:
    """Browsers name where a form came from (RFC 6454, 7); where they name it, it must be this host."""
    origin = request.headers.get("origin")
    return origin is None or urlsplit(origin).netloc == request.headers.get("host", "")


def charts(slots: list[dict[str, Any]]) -> list[Any]:
    """The last hour: answers a second, times, and how late the process's turns came."""

    def per_s(kind: str) -> list[float]:
        return [s[kind] / 10 for s in slots]

    return [
        chart("Answers", "a second", [(k, per_s(k)) for k in ("served", "refused", "failed")]),
        chart("Served within", "ms", [(k, [s[f"{k}_ms"] for s in slots]) for k in ("p50", "p99")]),
        chart("Bad attempts", "a second", [("failed", per_s("bad_attempts"))]),
        chart("Turns late", "ms", [("delay", [s["loop_delay_ms"] for s in slots])]),
    ]


def _matching(rows: list[dict[str, Any]], search: str) -> list[dict[str, Any]]:
    wanted = search.casefold()
    found = [r for r in rows if wanted in " ".join((*r["path"], *r["words"])).casefold()]
    return found[:500]


def _number(text: str, least: int) -> int:
    return max(least, int(text)) if text.isdecimal() and len(text) < 9 else least


def _order(text: str) -> str:
    return text if text in ("address", "out", "failures", "slowness") else "address"


def _link(path: str, query: dict[str, Any]) -> str:
    kept = {k: v for k, v in query.items() if v not in ("", 0, None) and k != "fragment"}
    return f"{path}?{urlencode(kept)}" if kept else path


def _clock(ms: float) -> str:
    return datetime.fromtimestamp(ms / 1000).strftime("%H:%M:%S")


def _ago(ms: float | None) -> str:
    if ms is None:
        return "never"
    return f"{ms / 1000:.1f} s" if ms < 120_000 else f"{ms / 60_000:.0f} min"


def _short(value: Any) -> str:
    return "–" if value is None else f"{value:g}" if isinstance(value, float) else str(value)


def _fields(fields: dict[str, Any]) -> str:
    return printable(" ".join(f"{k}={v}" for k, v in fields.items()))
