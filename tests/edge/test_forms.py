"""Tests that requests, answers and lists parse alike in every form that HTTP/1.1 and the platform's page allow,
split at every byte."""

from __future__ import annotations

import orjson
import pytest

from rushweir import interface
from rushweir.discovery.source import Update
from rushweir.edge.discovery_watch import DiscoveryWatch
from rushweir.edge.front import ClientConnection, Shared
from rushweir.edge.http import MAX_BODY_BYTES, MAX_FRAMING_BYTES, AnswerReader, Malformed
from rushweir.ingress import commands
from tests.edge.conftest import LIST, SETTINGS, answer, booking, request

PLAIN, KEYED = request(), booking(body=b'{"to": 1}')
CUSTOMER = "0000000000abcdef"


def vary(data, old, new):
    """Returns a message with some of its bytes replaced; they must be in it."""
    assert old in data
    return data.replace(old, new)


def chunked(*pieces, more=b"", trailers=b""):
    """Returns a keyed request with a chunked body."""
    head, _, _ = KEYED.partition(b"\r\n\r\n")
    head = vary(head, b"Content-Length: 9", b"Transfer-Encoding: chunked")
    body = b"".join(b"%x%s\r\n%s\r\n" % (len(p), more, p) for p in pieces)
    return head + b"\r\n\r\n" + body + b"0\r\n" + trailers + b"\r\n"


SAFE_FORMS = {
    "plain": PLAIN,
    "names in lower case": b"\r\n".join(
        line if k == 0 else line.partition(b":")[0].lower() + b":" + line.partition(b":")[2]
        for k, line in enumerate(PLAIN.split(b"\r\n"))
    ).replace(b"\r\n:\r\n:", b"\r\n\r\n"),
    "names in upper case": vary(vary(PLAIN, b"Req-Id", b"REQ-ID"), b"X-Metering", b"X-METERING"),
    "no space before a value": vary(PLAIN, b": ", b":"),
    "white space on both sides of a value": vary(vary(PLAIN, b": ", b": \t "), b"\r\nX-", b" \t\r\nX-"),
    "white space after the id": vary(PLAIN, b"Req-Id: id-1", b"Req-Id: id-1 \t "),
    "empty lines ahead": b"\r\n\r\n" + PLAIN,
    "headers in another order": b"\r\n".join([(x := PLAIN.split(b"\r\n"))[0], *x[-3:0:-1], b"", b""]),
    "headers that nobody knows": request(X_Empty="", Req_Retry="1", Accept="*/*", X_Name="\u00e9"),
    "it will close": request(Connection="close"),
    "it says that it stays": request(Connection="Keep-Alive"),
    "a length of nothing": request(Content_Length="0"),
    "a deadline with zeros ahead": request(Req_Deadline_Ms="0002000"),
    "metering in another order": vary(PLAIN, b"units=1,spread=1,first=0", b"first=0,units=1,spread=1"),
    "metering with spaces": vary(PLAIN, b"units=1,spread=1,first=0", b"units=1, spread=1 ,first=0"),
    "HTTP/1.0": vary(PLAIN, b"HTTP/1.1", b"HTTP/1.0"),
}  # fmt: skip
KEYED_FORMS = {
    "plain": KEYED, "a length with zeros ahead": vary(KEYED, b"Length: 9", b"Length: 009"),
    "a length with a space behind": vary(KEYED, b"Length: 9", b"Length: 9 "),
    "the length first": vary(vary(KEYED, b"Content-Length: 9\r\n", b""), b"Host:", b"Content-Length: 9\r\nHost:"),
    "it waits for a word": booking(body=b'{"to": 1}', Expect="100-continue"),
    "one chunk": chunked(b'{"to": 1}'), "chunks of a byte": chunked(*(bytes([b]) for b in b'{"to": 1}')),
    "chunks with extensions": chunked(b'{"to', b'": 1}', more=b";a=b"),
    "chunks and trailers": chunked(b'{"to": 1}', trailers=b"X-Sum: 7 \r\nX-More: 8\r\n"),
    "the coding's name in other letters": vary(chunked(b'{"to": 1}'), b": chunked", b": Chunked"),
}  # fmt: skip
TARGET_FORMS = {
    "upper case": b"/api?customer=0000000000ABCDEF", "escapes": b"/api?customer=0000000000%61bcdef",
    "other fields": b"/api?x=1&customer=0000000000abcdef&y=",
    "another path": b"/a/b;c=d/%7e?customer=0000000000abcdef",
    "absolute": b"http://origin.svc/api?customer=0000000000abcdef", "no path": b"/?customer=0000000000abcdef",
}  # fmt: skip


def front():
    return ClientConnection(Shared(SETTINGS, lambda: (200, {}), lambda: False, 99, lambda: 5.0))


def read(*pieces):
    """Returns the only request that a connection parses from some pieces, for which it writes nothing."""
    conn = front()
    asked = [x for piece in pieces for x in conn.receive(piece)]
    assert len(asked) == 1 and conn.take() == ([], False), conn.take()
    ask = asked[0][1]
    p = ask.payload
    return asked[0][0], ask.class_name, ask.within_ms, ask.units, ask.arrived_ms, ask.partner, p.head, p.body


@pytest.mark.parametrize("name", SAFE_FORMS)
def test_each_form_of_a_request_without_body_parses_like_the_plain_one_at_any_split(name):
    data, plain = SAFE_FORMS[name], read(PLAIN)
    for cut in range(len(data) + 1):
        assert read(data[:cut], data[cut:]) == plain, cut
    assert read(*(data[k : k + 1] for k in range(len(data)))) == plain


@pytest.mark.parametrize("name", KEYED_FORMS)
def test_each_form_of_a_request_with_body_parses_like_the_plain_one_at_any_split(name):
    data, plain = KEYED_FORMS[name], read(KEYED)
    assert plain[-1] == b'{"to": 1}'
    for cut in range(len(data) + 1):
        assert read(data[:cut], data[cut:]) == plain, cut
    assert read(*(data[k : k + 1] for k in range(len(data)))) == plain


@pytest.mark.parametrize("name", TARGET_FORMS)
def test_each_form_of_a_target_has_the_same_customer_and_is_forwarded_unchanged(name):
    data = vary(request(customer=CUSTOMER), b"/api?customer=" + CUSTOMER.encode(), TARGET_FORMS[name])
    for cut in range(len(data) + 1):
        *_, partner, head, _ = read(data[:cut], data[cut:])
        assert partner.name == CUSTOMER and head.startswith(b"GET " + TARGET_FORMS[name] + b" HTTP/1.1\r\n")


@pytest.mark.parametrize("first", [PLAIN, KEYED, chunked(b'{"to', b'": 1}')])
def test_two_pipelined_requests_are_parsed_at_any_split(first):
    """The second is returned when the first is answered; its deadline counts from its last byte."""
    data = first + vary(PLAIN, b"id-1", b"id-2")
    for cut in range(len(data) + 1):
        conn = front()
        (rid, _), *others = conn.receive(data[:cut]) + conn.receive(data[cut:])
        assert rid == b"id-1" and not others and len(conn.queue) == 1, cut
        conn.answer(commands.Answer(1, rid, commands.AnswerKind.SERVED, b"1", "", 0.0))
        assert [k for k, _ in conn.receive(b"")] == [b"id-2"]


@pytest.mark.parametrize("tail", [b"0\r\nX: ", b"0\r\n", b"3;", b""])
def test_endless_trailers_and_chunk_sizes_are_refused_with_431(tail):
    """A trailer's value was buffered without limit, 12 MB in a second, and an ingress may have 32 MB only."""
    conn = front()
    conn.receive(chunked().partition(b"\r\n\r\n")[0] + b"\r\n\r\n" + tail)
    given = 0
    while not conn.ended and given < 10 * MAX_FRAMING_BYTES:
        conn.receive(b"0" * 4096)
        given += 4096
    assert given <= MAX_FRAMING_BYTES + 4096 and b"HTTP/1.1 431 " in conn.take()[0][0]


def test_largest_body_in_the_smallest_allowed_chunks_is_accepted():
    body = b"x" * MAX_BODY_BYTES
    pieces = [body[k : k + 9] for k in range(0, len(body), 9)]
    data = vary(chunked(*pieces), b"0\r\n\r\n", b"0\r\nX-T: 1\r\n\r\n")
    assert read(*(data[k : k + 1460] for k in range(0, len(data), 1460)))[-1] == body


# --- answers of backends, and lists -------------------------------------------------------------------


def in_chunks(body, more="", size=4):
    pieces = [body[k : k + size] for k in range(0, len(body), size)]
    chunks = b"".join(b"%X\r\n%s\r\n" % (len(p), p) for p in pieces)
    return f"HTTP/1.1 200 OK\r\n{more}Transfer-Encoding: chunked\r\n\r\n".encode() + chunks + b"0\r\n\r\n"


def forms(body):
    whole = answer(body, more="X-Meter: 40\r\n")
    return {
        "plain": whole, "no reason": vary(whole, b"200 OK", b"200 "),
        "not even a space": vary(whole, b"200 OK", b"200"),
        "names in lower case": vary(vary(whole, b"Content-Length", b"content-length"), b"X-Meter", b"x-meter"),
        "no space before a value": vary(whole, b"Length: ", b"Length:").replace(b"X-Meter: ", b"X-Meter:"),
        "white space behind a value": vary(vary(whole, b"Meter: 40", b"Meter:  40 \t"), b"\r\n\r\n", b" \r\n\r\n"),
        "chunks": in_chunks(body, "X-Meter: 40\r\n", 64), "chunks of some bytes": in_chunks(body, "X-Meter: 40\r\n"),
        "interim answers ahead": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" + whole,
        "it will close": vary(whole, b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"),
        "it says that it stays": vary(whole, b"\r\n\r\n", b"\r\nConnection: keep-alive\r\nKeep-Alive: 5\r\n\r\n"),
    }  # fmt: skip


@pytest.mark.parametrize("name", forms(b"good"))
def test_each_form_of_an_answer_parses_like_the_plain_one_at_any_split(name):
    data = forms(b"good")[name]
    for cut in range(len(data) + 1):
        reader = AnswerReader()
        reader.expect()
        first, second = reader.receive(data[:cut]), reader.receive(data[cut:])
        found = first or second
        assert (found.status, found.body, found.headers[b"x-meter"]) == (200, b"good", b"40") and not reader.unmatched
        assert found.keep is (name != "it will close")


@pytest.mark.parametrize(("status", "more"), [("503 No", "Srv-Declined: 1 \t\r\n"), ("504", "srv-declined:1\r\n")])
def test_backend_refusal_is_recognized_in_each_form(edge, status, more):
    _, backend_conn = edge.send_request()
    data = answer(b"", status, more)
    for k in range(len(data)):
        edge.receive(backend_conn, data[k : k + 1])
    assert edge.core.engine.counts["attempt_full"] == 1


INDENTED = orjson.dumps(LIST, option=orjson.OPT_INDENT_2) + b"\n"


@pytest.mark.parametrize("body", [orjson.dumps(LIST), INDENTED], ids=["compact", "indented"])
@pytest.mark.parametrize("name", forms(b"good"))
def test_each_form_of_a_list_parses_like_the_plain_one_at_any_split(name, body):
    data, got = forms(body)[name], []
    for cut in range(len(data) + 1):
        watch = DiscoveryWatch(("10.9.0.1", 8500), 1, {}, lambda _: 1, lambda *_: None)
        watch.start(0.0)
        watch.dialed(1.0, 1)
        watch.received(2.0, 1, data[:cut])
        watch.received(3.0, 1, data[cut:])
        assert [type(u) for u in watch.updates] == [Update] and not watch.log_events, cut
        got.append((watch.updates[0], tuple(watch.servers.values())))
    assert {u.scope for u, _ in got} == {interface.Scope.FULL} and {u.version for u, _ in got} == {7}
    assert all([s.address for s in servers] == ["s-1", "s-2", "s-3"] for _, servers in got)


def test_answer_with_endless_trailers_is_malformed():
    reader = AnswerReader()
    reader.expect()
    reader.receive(in_chunks(b"good")[:-2] + b"X: ")
    with pytest.raises(Malformed, match="trailers"):
        for _ in range(MAX_FRAMING_BYTES // 4096 + 2):
            reader.receive(b"y" * 4096)
