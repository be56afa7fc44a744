"""The WebSocket front, fed with bytes: what it takes, what it refuses, and that cuts of the bytes don't matter."""

from __future__ import annotations

import struct
import zlib

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from websockets.frames import Frame, Opcode

from rushweir.fronts.credentials import Credentials, digest, new_credential
from rushweir.fronts.websocket import ClientConnection, FrontSettings
from rushweir.ingress.commands import Answer, AnswerKind
from rushweir.ingress.queries import Partner
from rushweir.link import rpc
from rushweir.link.websocket import Messages, client_protocol

TOKEN = "a-credential"
KNOWN = Credentials({digest(TOKEN): Partner("hotel", "wide")})
SETTINGS = FrontSettings(path="/dispatch", max_message=10_000, max_batch=5, max_open=8, largest_units=4.0)


def front(**changes) -> ClientConnection:
    base = {f: getattr(SETTINGS, f) for f in FrontSettings.__slots__}
    return ClientConnection(FrontSettings(**{**base, **changes}), lambda: KNOWN, lambda: (200, {"status": "ok"}))


def out(f: ClientConnection) -> bytes:
    return b"".join(f.take()[0])


class Peer:
    """A front and its client, joined in memory."""

    def __init__(self, deflate: bool = False, **changes) -> None:
        self.front = front(**changes)
        self.client = Messages(client_protocol("ws://x/dispatch", 1 << 20, deflate))
        self.client.connect({"Authorization": f"Bearer {TOKEN}"})
        self.front.receive(b"".join(self.client.take()[0]))
        assert self.client.shake(out(self.front))

    def say(self, *texts: bytes) -> list:
        for text in texts:
            self.client.send(text)
        return self.raw(b"".join(self.client.take()[0]))

    def raw(self, data: bytes) -> list:
        return self.front.receive(data)

    def heard(self) -> list:
        return [orjson.loads(t) for t in self.client.receive(out(self.front))]

    def closed_with(self) -> int | None:
        self.heard()
        received = self.client.proto.close_rcvd
        return int(received.code) if received is not None else None


def call(id=1, method="booking", **params) -> bytes:
    return rpc.call(method, params, id)


def mask(opcode: int, payload: bytes, fin: bool = True, rsv: int = 0, masked: bool = True) -> bytes:
    head = bytes([(0x80 if fin else 0) | rsv | opcode])
    n = len(payload)
    size = bytes([n]) if n < 126 else b"\x7e" + struct.pack("!H", n) if n < 65536 else b"\x7f" + struct.pack("!Q", n)
    if not masked:
        return head + size + payload
    key = b"\x37\xfa\x21\x3d"  # not drawn: names of tests are made of frames, and are the same in each worker
    return head + bytes([size[0] | 0x80]) + size[1:] + key + bytes(b ^ key[k % 4] for k, b in enumerate(payload))


# --- who may come in -------------------------------------------------------------------------------


def upgrade(*lines: str, path: str = "/dispatch") -> bytes:
    base = ["Host: x", "Upgrade: websocket", "Connection: Upgrade", "Sec-WebSocket-Version: 13",
            "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ=="]  # fmt: skip
    return "\r\n".join([f"GET {path} HTTP/1.1", *base, *lines, "", ""]).encode()


STRANGE = ("X: y", "Bearer wrong", "Basic eDp5", f"Bearer {TOKEN} x", "Bearer", "\xff")


@pytest.mark.parametrize("line", [s if ":" in s else f"Authorization: {s}" for s in STRANGE])
def test_strangers_get_401_before_the_upgrade(line):
    f = front()
    f.receive(upgrade(line))
    writes, end = f.take()
    answer = b"".join(writes)
    assert answer.startswith(b"HTTP/1.1 401 ") and b"Bearer" in answer and b"101" not in answer and end


def test_a_partner_comes_in_with_the_subprotocol():
    f = front()
    f.receive(upgrade(f"Authorization: bearer {TOKEN}", "Sec-WebSocket-Protocol: jsonrpc"))
    answer = out(f)
    assert answer.startswith(b"HTTP/1.1 101 ") and b"jsonrpc" in answer and f.partner == Partner("hotel", "wide")


@pytest.mark.parametrize(
    ("request_", "status"),
    [
        (b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n", 200),
        (b"HEAD /health HTTP/1.1\r\nHost: x\r\n\r\n", 200),
        (b"POST /health HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi", 405),
        (b"GET /dispatch HTTP/1.1\r\nHost: x\r\n\r\n", 426),
        (b"GET /other HTTP/1.1\r\nHost: x\r\n\r\n", 404),
        (upgrade(f"Authorization: Bearer {TOKEN}", path="/other"), 404),
        (upgrade(f"Authorization: Bearer {TOKEN}").replace(b"13", b"12"), 426),
        (upgrade(f"Authorization: Bearer {TOKEN}").replace(b"Key: dG", b"Key: "), 400),
        (b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"GET /" + b"x" * 20_000, 431),
    ],
)
def test_plain_http(request_, status):
    f = front()
    f.receive(request_)
    assert out(f).startswith(f"HTTP/1.1 {status} ".encode())


def test_http_requests_on_one_connection_in_order():
    f = front()
    f.receive(b"GET /health HTTP/1.1\r\nHost: x\r\n\r\nGET /nix HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    writes, end = f.take()
    answer = b"".join(writes)
    assert answer.index(b" 200 ") < answer.index(b" 404 ") and end


# --- what it takes ---------------------------------------------------------------------------------


def test_a_request_and_its_answers():
    p = Peer()
    (got,) = p.say(call("x", key="k", units=2, within_ms=500, data={"to": "Keleti"}))
    ref, ask = got
    assert (ask.cls, ask.within_ms, ask.units) == ("booking", 500, 2.0)
    assert ask.payload == {"partner": "hotel", "data": {"to": "Keleti"}, "units": 2, "key": "hotel/k"}
    p.front.answer(Answer(1, ref, AnswerKind.SERVED, ("result", {"ok": 1})))
    assert p.heard() == [{"jsonrpc": "2.0", "id": "x", "result": {"ok": 1}}]
    for kind, code, data in (
        (
            AnswerKind.REFUSED,
            rpc.REFUSED,
            {"reason": "quota", "repeat": "harmless", "retry_after_ms": 41, "request": "r"},
        ),
        (AnswerKind.FAILED, rpc.FAILED, {"reason": "quota", "request": "r"}),
    ):
        ((ref, _),) = p.say(call("y"))
        p.front.answer(Answer(1, ref, kind, None, "quota", 40.2, "r"))
        (said,) = p.heard()
        assert (said["error"]["code"], said["error"]["data"]) == (code, data)


@pytest.mark.parametrize(
    ("text", "code", "names"),
    [
        (b"{", -32700, "JSON"),
        (b'{"jsonrpc":"2.0","id":1,"method":"m","params":{"units":NaN}}', -32700, "JSON"),
        (b"[" * 5000, -32700, "JSON"),
        (b"3", -32600, "object"),
        (b"[]", -32600, "batch"),
        (b'{"id":1,"method":"m"}', -32600, "jsonrpc"),
        (b'{"jsonrpc":"2.0","id":1}', -32600, "method"),
        (b'{"jsonrpc":"2.0","id":1.5,"method":"m"}', -32600, "id"),
        (b'{"jsonrpc":"2.0","id":true,"method":"m"}', -32600, "id"),
        (b'{"jsonrpc":"2.0","id":null,"method":"m"}', -32600, "id"),
        (b'{"jsonrpc":"2.0","id":"' + b"x" * 129 + b'","method":"m"}', -32600, "id"),
        (b'{"jsonrpc":"2.0","id":1,"method":7}', -32600, "method"),
        (b'{"jsonrpc":"2.0","id":1,"method":"m","params":3}', -32600, "params"),
        (b'{"jsonrpc":"2.0","id":1,"method":"m","params":[1]}', -32602, "params"),
        (call(units=-1), -32602, "params.units"),
        (call(units=0), -32602, "params.units"),
        (call(units=5), -32602, "params.units"),
        (call(units="1"), -32602, "params.units"),
        (call(units=True), -32602, "params.units"),
        (b'{"jsonrpc":"2.0","id":1,"method":"m","params":{"units":1e999}}', None, "units"),
        (call(within_ms=0), -32602, "params.within_ms"),
        (call(within_ms="now"), -32602, "params.within_ms"),
        (call(key=""), -32602, "params.key"),
        (call(key="k" * 129), -32602, "params.key"),
        (call(price=3), -32602, "params.price"),
    ],
)
def test_bad_messages_are_answered_and_harm_nobody(text, code, names):
    p = Peer()
    assert p.say(text) == []
    (said,) = p.heard()
    if code is not None:
        assert said["error"]["code"] == code
    assert said["error"]["code"] < 0 and names.split(".")[-1] in said["error"]["message"] or code is None
    assert len(p.say(call("next"))) == 1  # the connection goes on


def test_notifications_are_not_taken_and_not_answered():
    p = Peer()
    assert p.say(b'{"jsonrpc":"2.0","method":"booking","params":{}}') == [] and p.heard() == []
    assert p.front.notifications == 1


def test_open_requests_of_a_connection_are_bounded():
    p = Peer()
    assert len(p.say(*(call(k) for k in range(12)))) == 8
    refused = p.heard()
    assert [r["error"]["data"]["reason"] for r in refused] == ["connection_full"] * 4


def test_batches_wait_for_their_last_answer():
    p = Peer()
    text = b"[" + b",".join([call(1, within_ms=900), call(2, within_ms=400), b"7", call(3)]) + b"]"
    asked = p.say(text)
    assert [a.within_ms for _, a in asked] == [400, 400, 400]
    for ref, _ in asked[:2]:
        p.front.answer(Answer(1, ref, AnswerKind.SERVED, ("result", ref.id)))
    assert p.heard() == []
    p.front.answer(Answer(1, asked[2][0], AnswerKind.FAILED, None, "attempts"))
    (said,) = p.heard()
    assert sorted(str(m["id"]) for m in said) == ["1", "2", "3", "None"]


# --- frames ----------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("frames", "code"),
    [
        (mask(1, b"{}", masked=False), 1002),  # RFC 6455, 5.1: a client masks
        (mask(2, b"{}"), 1003),
        (mask(1, b"\xff\xfe"), 1007),
        (mask(1, b"\xc3", fin=False) + mask(0, b"\x28"), 1007),
        (mask(0, b"x"), 1002),  # nothing to continue
        (mask(1, b"a", fin=False) + mask(1, b"b"), 1002),
        (mask(9, b"x", fin=False), 1002),  # control frames are not cut (5.5)
        (mask(9, b"x" * 126), 1002),
        (mask(3, b""), 1002),
        (mask(1, b"{}", rsv=0x40), 1002),  # no extension was agreed
        (mask(1, b"x" * 10_001), 1009),
        (mask(1, b"x" * 6000, fin=False) + mask(0, b"x" * 6000), 1009),
        (mask(8, b"\x03"), 1002),
        (mask(8, struct.pack("!H", 1005)), 1002),  # 7.4.1: never on the wire
        (mask(8, struct.pack("!H", 1000) + b"\xff"), 1007),
        (b"\x81\xff" + struct.pack("!Q", 1 << 62), 1009),
        (mask(1, b"", fin=False) + mask(0, b"", fin=False) * 5000, 1009),
    ],
    ids=lambda value: value[:16].hex() if isinstance(value, bytes) else None,
)
def test_broken_frames_end_the_connection_with_a_code(frames, code):
    p = Peer()
    assert p.raw(frames) == []
    assert p.closed_with() == code and p.front.take()[1]
    assert p.raw(mask(1, call())) == []  # 7.1.7: nothing more is read


def test_a_bomb_is_not_inflated():
    p = Peer(deflate=True)
    packer = zlib.compressobj(9, zlib.DEFLATED, -15)
    bomb = (packer.compress(b" " * 50_000_000) + packer.flush(zlib.Z_SYNC_FLUSH))[:-4]
    assert len(bomb) < 60_000
    assert p.raw(mask(1, bomb, rsv=0x40)) == [] and p.closed_with() == 1009


def test_deflated_messages_come_through():
    p = Peer(deflate=True)
    assert p.client.proto.extensions, "agreed on"
    ((_, ask),) = p.say(call(data="x" * 5000))
    assert ask.payload["data"] == "x" * 5000


def test_control_frames_between_fragments():
    p = Peer()
    text = call(7)
    asked = p.raw(mask(1, text[:9], fin=False) + mask(9, b"there?") + mask(0, text[9:]))
    assert [r.id for r, _ in asked] == [7]
    raw = out(p.front)
    assert Frame(Opcode.PONG, b"there?").serialize(mask=False) in raw


def test_close_is_echoed_and_ends():
    p = Peer()
    p.raw(mask(8, struct.pack("!H", 1000) + b"bye"))
    writes, end = p.front.take()
    assert b"".join(writes) == b"\x88\x05" + struct.pack("!H", 1000) + b"bye" and end


STREAM = [call(k, data="é" * k) for k in range(6)]


@settings(max_examples=60, deadline=None)
@given(cuts=st.lists(st.integers(0, 2000), max_size=40), pieces=st.lists(st.integers(1, 40), max_size=12))
def test_where_the_bytes_are_cut_changes_nothing(cuts, pieces):
    """Chunks of the stream, and fragments of messages, at any place: the same requests come out."""
    p = Peer()
    stream = b""
    for k, text in enumerate(STREAM):
        if k < len(pieces) and pieces[k] < len(text):
            at = pieces[k]
            stream += mask(1, text[:at], fin=False) + mask(9, b"p") + mask(0, text[at:])
        else:
            stream += mask(1, text)
    asked, last = [], 0
    for at in sorted({c for c in cuts if c < len(stream)}) + [len(stream)]:
        asked += p.raw(stream[last:at])
        last = at
    assert [(r.id, a.payload["data"]) for r, a in asked] == [(k, "é" * k) for k in range(6)]


@settings(max_examples=150, deadline=None)
@given(data=st.binary(max_size=600), after_upgrade=st.booleans())
def test_random_bytes_never_raise(data, after_upgrade):
    if after_upgrade:
        p = Peer()
        p.raw(data)
        p.raw(data)
        p.front.take()
        p.front.receive_eof()
    else:
        f = front()
        f.receive(data)
        f.receive(b"\r\n\r\n")
        f.take()
        f.receive_eof()


json_values = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**53), 2**53) | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=6), inner, max_size=4),
    max_leaves=12,
)


@settings(max_examples=150, deadline=None)
@given(method=json_values, id=json_values, params=json_values)
def test_any_json_is_answered_or_taken_once(method, id, params):
    p = Peer()
    asked = p.say(orjson.dumps({"jsonrpc": "2.0", "method": method, "id": id, "params": params}))
    assert len(asked) + len(p.heard()) == 1


def test_credentials():
    token = new_credential()
    known = Credentials({digest(token): Partner("a", "p")})
    assert known.partner(f"Bearer {token}") == Partner("a", "p")
    assert token not in repr(known)
    for wrong in (None, "", token, f"Bearer {token}x", f"Bearer  {token} ", f"Bearer {digest(token)}"):
        assert known.partner(wrong) is None or wrong == f"Bearer  {token} "
