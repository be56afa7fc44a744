"""h11 beside httptools: CPU of reading one request and one answer, and the same hostile corpus, in one run.

.venv/bin/python -m benchmarks.http_parsers
"""

from __future__ import annotations

import time

import h11

from rushweir.edge.http import AnswerReader, Malformed, RequestReader

REQUEST = (
    b"POST /api?customer=00000000b4d65521 HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: 9b1f03aa5c7e2d41\r\n"
    b"Req-Kind: checkout\r\nX-Contract: team\r\nReq-Deadline-Ms: 480\r\n"
    b"Idempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n"
    b"Content-Length: 212\r\nX-Metering: units=2,spread=3,first=1\r\n\r\n" + b"x" * 212
)  # fmt: skip
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Meter: 42\r\nContent-Length: 300\r\n\r\n" + b"y" * 300
POST, CODED = b"POST / HTTP/1.1\r\nHost: x\r\n", b"Transfer-Encoding: chunked\r\n"
HOSTILE = {
    "length and coding": POST + b"Content-Length: 3\r\n" + CODED + b"\r\n0\r\n\r\n",
    "coding and length": POST + CODED + b"Content-Length: 3\r\n\r\n0\r\n\r\n",
    "two lengths": b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    "negative length": b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
    "huge length": b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + b"9" * 40 + b"\r\n\r\n",
    "obs-fold": b"GET / HTTP/1.1\r\nHost: x\r\nA: b\r\n c\r\n\r\n",
    "space before colon": b"GET / HTTP/1.1\r\nHost: x\r\nA : b\r\n\r\n",
    "bare line ends": b"GET / HTTP/1.1\nHost: x\n\n",
    "noise": b"\x00\x01\xff" * 10 + b"\r\n\r\n",
    "endless head": b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"b" * 40_000,
    "two hosts": b"GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
}


def with_httptools(kind: type, data: bytes, count: int) -> None:
    reader = kind()
    for _ in range(count):
        if kind is AnswerReader:
            reader.expect()
            assert reader.receive(data) is not None
        else:
            assert reader.feed(data)


def with_h11(role: type, data: bytes, count: int) -> None:
    for _ in range(count):
        conn = h11.Connection(role, max_incomplete_event_size=16_384)
        if role is h11.CLIENT:
            conn.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
            conn.send(h11.EndOfMessage())
        conn.receive_data(data)
        while not isinstance(conn.next_event(), h11.EndOfMessage):
            pass


def timed(what, *args) -> float:
    what(*args, 200)
    began = time.process_time()
    what(*args, 3000)
    return (time.process_time() - began) / 3000 * 1e6


def refused(data: bytes) -> tuple[bool, bool]:
    try:
        RequestReader().feed(data)
        mine = False
    except Malformed:
        mine = True
    conn = h11.Connection(h11.SERVER, max_incomplete_event_size=16_384)
    try:
        conn.receive_data(data)
        while conn.next_event() not in (h11.NEED_DATA, h11.PAUSED):
            pass
        other = False
    except h11.RemoteProtocolError:
        other = True
    return mine, other


def main() -> None:
    for name, kind, role, data in (
        ("request", RequestReader, h11.SERVER, REQUEST), ("answer", AnswerReader, h11.CLIENT, ANSWER),
    ):  # fmt: skip
        mine, other = timed(with_httptools, kind, data), timed(with_h11, role, data)
        print(f"{name:8} httptools {mine:6.1f} us   h11 {other:6.1f} us")
    for name, data in HOSTILE.items():
        mine, other = refused(data)
        print(f"{name:20} httptools {'refused' if mine else 'READ':8} h11 {'refused' if other else 'READ'}")


if __name__ == "__main__":
    main()
