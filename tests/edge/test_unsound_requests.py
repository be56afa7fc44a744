"""A table of unsound requests: each gets an error and is never sent, alone, split, behind and before sound ones.

Guards against an unsound request that is answered as served (issue 58, evidence 2).
"""

from __future__ import annotations

import re

import pytest

from rushweir.ingress import commands
from tests.edge.conftest import Edge, answer, booking, request
from tests.edge.test_clients import INVALID_REQUESTS, MALFORMED_REQUESTS

SAFE, KEYED = request(), booking()
LENGTH = b"Content-Length: 2"
HEAD_END = b"\r\n\r\n"


def vary(data, old, new):
    assert old in data
    return data.replace(old, new, 1)


def chunked(body, coding=b"chunked"):
    head = booking(body=b"").removesuffix(b"\r\n")
    return head + b"Transfer-Encoding: " + coding + HEAD_END + body


ONE_CHUNK = b"2\r\n{}\r\n0\r\n\r\n"
FRAMING = {
    "empty coding beside a length": vary(KEYED, LENGTH, b"Transfer-Encoding: \r\n" + LENGTH),
    "length beside an empty coding": vary(KEYED, LENGTH, LENGTH + b"\r\nTransfer-Encoding:"),
    "identity beside a length": vary(KEYED, LENGTH, b"Transfer-Encoding: identity\r\n" + LENGTH),
    "gzip beside a length": vary(KEYED, LENGTH, b"Transfer-Encoding: gzip\r\n" + LENGTH),
    "identity": vary(KEYED, LENGTH, b"Transfer-Encoding: identity"),
    "xchunked": chunked(ONE_CHUNK, b"xchunked"), "gzip, chunked": chunked(ONE_CHUNK, b"gzip, chunked"),
    "chunked, chunked": chunked(ONE_CHUNK, b"chunked, chunked"),
    "coding twice": chunked(ONE_CHUNK, b"chunked\r\nTransfer-Encoding: chunked"),
    "coding in HTTP/1.0": vary(chunked(ONE_CHUNK), b"HTTP/1.1", b"HTTP/1.0"),
    "a list of lengths": vary(KEYED, LENGTH, LENGTH + b", 2"),
    "length +2": vary(KEYED, LENGTH, b"Content-Length: +2"),
    "length 0x2": vary(KEYED, LENGTH, b"Content-Length: 0x2"), "length 2.0": vary(KEYED, LENGTH, LENGTH + b".0"),
    "empty length": vary(KEYED, LENGTH, b"Content-Length: "),
    "length twice": vary(KEYED, LENGTH, LENGTH + b"\r\n" + LENGTH),
    "space before the colon": vary(KEYED, LENGTH, b"Content-Length : 2"),
    "chunk extension with a control": chunked(b"2;\0\r\n{}\r\n0\r\n\r\n"), "negative chunk": chunked(b"-2\r\n{}\r\n"),
    "chunk in hex notation": chunked(b"0x2\r\n{}\r\n0\r\n\r\n"), "chunk too long": chunked(b"2\r\n{}x\r\n0\r\n\r\n"),
    "huge chunk": chunked(b"ffffffffffffffffff\r\n{}\r\n"), "chunk with bare ends": chunked(b"2\n{}\n0\n\n"),
    "safe with a chunked body": request(Transfer_Encoding="chunked") + b"1\r\nx\r\n0\r\n\r\n",
}  # fmt: skip
LINES = {
    "no Host": vary(SAFE, b"Host: origin.svc\r\n", b""), "Host twice": vary(SAFE, b"Host:", b"Host: other\r\nHost:"),
    "HTTP/2.0": vary(SAFE, b"HTTP/1.1", b"HTTP/2.0"), "HTTP/1.2": vary(SAFE, b"HTTP/1.1", b"HTTP/1.2"),
    "HTTP/0.9": vary(SAFE, b"HTTP/1.1", b"HTTP/0.9"), "no version": vary(SAFE, b" HTTP/1.1", b""),
    "http in lower case": vary(SAFE, b"HTTP/1.1", b"http/1.1"), "get": vary(SAFE, b"GET", b"get"),
    "HEAD": request(method="HEAD"), "OPTIONS": request(method="OPTIONS"), "TRACE": request(method="TRACE"),
    "CONNECT": request(method="CONNECT"), "PRI": request(method="PRI"), "an unknown method": request(method="FOO"),
    "PUT": vary(KEYED, b"POST", b"PUT"), "target *": vary(SAFE, b"/api?", b"*?"),
    "target without a slash": vary(SAFE, b"/api?", b"api?"), "target of ftp": vary(SAFE, b"/api?", b"ftp://x/api?"),
    "target with a control": vary(SAFE, b"/api?", b"/a\0?"), "target with a space": vary(SAFE, b"/api?", b"/a b?"),
    "control in a value": request(X="a\0b"), "bare CR in a value": request(X="a\rb"),
    "bare LF after a field": vary(SAFE, b"position\r\n", b"position\n"),
    "field without a colon": SAFE[:-2] + b"X" + HEAD_END,
    "field without a name": SAFE[:-2] + b": x" + HEAD_END, "control in a name": SAFE[:-2] + b"a\1b: x" + HEAD_END,
    "space before the first field": vary(SAFE, b"Host:", b" X: 1\r\nHost:"),
}  # fmt: skip
FIELDS = {
    "empty id": request(""), "id of 129": request("x" * 129), "id twice": request(X="1\r\nReq-Id: id-2"),
    "id with DEL": request("a\x7fb"), "id not ASCII": request("\u00e9"),
    "class twice": request(X="1\r\nReq-Kind: booking"), "class in other case": request(cls="Position"),
    "plan twice": request(X="1\r\nX-Contract: tight"), "deadline twice": request(X="1\r\nReq-Deadline-Ms: 5"),
    "no deadline": request(Req_Deadline_Ms=None), "empty deadline": request(Req_Deadline_Ms=""),
    "deadline +500": request(Req_Deadline_Ms="+500"), "deadline 1e3": request(Req_Deadline_Ms="1e3"),
    "deadline 500.5": request(Req_Deadline_Ms="500.5"), "deadline inf": request(Req_Deadline_Ms="inf"),
    "deadline 0x10": request(Req_Deadline_Ms="0x10"), "deadline 1_000": request(Req_Deadline_Ms="1_000"),
    "deadline of 20 digits": request(Req_Deadline_Ms="9" * 20),
    "deadline in other digits": request(Req_Deadline_Ms="\u0665"),
    "no metering": request(X_Metering=None), "empty metering": request(X_Metering=""),
    "metering twice": request(X="1\r\nX-Metering: units=2,spread=1,first=0"),
    "metering with semicolons": request(X_Metering="units=1;spread=1;first=0"),
    "units -1": request(X_Metering="units=-1,spread=1,first=0"),
    "units 1.5": request(X_Metering="units=1.5,spread=1,first=0"),
    "spread 0": request(X_Metering="units=1,spread=0,first=0"),
    "first -1": request(X_Metering="units=1,spread=1,first=-1"),
    "no customer": vary(SAFE, b"?customer=0000000000000001", b""),
    "customer of 15 digits": request(customer="0" * 15),
    "customer twice": request(customer="0000000000000001&customer=0000000000000002"),
    "customer of 17 digits": request(customer="0" * 17), "customer 2^33": request(customer="0000000200000000"),
    "customer 0x": request(customer="0x00000000000001"),
    "customer with a space": request(customer="000000000000000%201"),
    "key twice": booking(X="1\r\nIdempotency-Key: k2"), "empty key": booking(key=""),
    "key of 129": booking(key="k" * 129),
    "key with a space": booking(key="a b"), "keyed by GET": request(cls="booking", Idempotency_Key="k"),
}  # fmt: skip
UNSOUND = {**INVALID_REQUESTS, **MALFORMED_REQUESTS, **FRAMING, **LINES, **FIELDS}


def play(pieces):
    """Sends some pieces on one connection, answers every attempt, and returns statuses and ids of attempts."""
    edge = Edge()
    conn = edge.connect()
    for piece in pieces:
        if conn not in edge.closed:
            edge.receive(conn, piece)
    for _ in range(30):
        for backend_conn, link in list(edge.core.pool.links.items()):
            if link.state == "dialing":
                edge.core.dialed(edge.now, backend_conn)
                edge.turn()
            elif link.job is not None:
                edge.receive(backend_conn, answer())
        edge.advance_ms(100.0)
    written = b"".join(command.data for command in edge.commands if isinstance(command, commands.Write))
    return edge.statuses(conn), re.findall(rb"Req-Id: (\S+)\r\n", written)


@pytest.mark.parametrize("name", UNSOUND)
def test_unsound_request_gets_an_error_and_is_not_sent(name):
    statuses, sent = play([UNSOUND[name]])
    assert len(statuses) == 1 and 400 <= statuses[0] < 600 and not sent


@pytest.mark.parametrize("name", UNSOUND)
def test_unsound_request_that_comes_byte_by_byte_is_not_sent(name):
    statuses, sent = play([UNSOUND[name][k : k + 1] for k in range(min(len(UNSOUND[name]), 20_000))])
    assert len(statuses) == 1 and 400 <= statuses[0] < 600 and not sent


@pytest.mark.parametrize("name", UNSOUND)
def test_unsound_request_behind_a_sound_one_is_not_sent(name):
    """The sound one is served, unless what follows it is not even the beginning of a request."""
    statuses, sent = play([request("sound") + UNSOUND[name]])
    assert statuses[-1] >= 400 and statuses.count(200) == len(sent) and sent in ([], [b"sound"])


@pytest.mark.parametrize("name", UNSOUND)
def test_unsound_request_before_a_sound_one_is_not_sent(name):
    statuses, sent = play([UNSOUND[name] + request("sound")])
    assert statuses[0] >= 400 and statuses.count(200) == len(sent) and sent in ([], [b"sound"])
