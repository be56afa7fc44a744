"""Messages between a control process and those that watch it: sealed bodies in JSON-RPC notifications. No I/O.

    {"jsonrpc": "2.0", "method": "rollout.step", "params": {"body": BASE64, "seal": BASE64}}

The body is a map that msgpack packs: objects are bytes, and one base64 over all is smaller than one for each. Its
first byte tells whether the rest is deflated, as larger ones are. The seal is a keyed digest over method and body, so
bytes that were altered on the way, by accident or by one who does not have the key, are refused before anything of
them is read. Without a key the digest finds accidents alone.

    from the control process
    rollout.beat   {head, least, current, waits, nonce}
                                                   its newest version; the least that all act on; whether a majority
                                                   hears it; whether what is to come stands in a line; the nonce
                                                   until it is watched
    rollout.step   {step, digest}                  one step as change_sets.py packs it, the whole's digest after it
    rollout.mend   {base, version, piece, rows, marks, digest, more}
                                                   what differs from ``base``, in numbered pieces, the digest with
                                                   the last
    rollout.ask    {}                              the digests of all parts are wanted
    from the one who watches
    rollout.watch  {who, nonce, version, digest, acts, repair}
    rollout.parts  {version, digests, repair}
    rollout.acts   {version, why}                  as often as needed, and as a sign of life; why: of its disk
    rollout.refused {version, acts, kind, name, field, text}
"""

from __future__ import annotations

from base64 import b64decode, b64encode
from hashlib import blake2b
from typing import Any
from zlib import compress, decompressobj
from zlib import error as ZlibError

import msgpack

from rushweir.link import rpc

SEAL = 16
MAX_NAME_CHARS = 128
MAX_TEXT_CHARS = 300  # characters of a reason; longer ones are cut
MAX_MESSAGE_BYTES = 2 * 1_048_576  # bytes of one message: a step of the largest size in base64, with room
MAX_BODY_BYTES = 2 * 1_048_576  # bytes, inflated
DEFLATE_FROM = 1_024  # bytes: below that there is little to win
PLAIN, DEFLATED = b"\x00", b"\x01"


class MessageError(ValueError):
    """A message that is not sealed with this key, or is none of these."""


def _seal(method: str, body: bytes, key: bytes) -> bytes:
    return blake2b(body, digest_size=SEAL, key=key[:64], person=method.encode()[:16]).digest()


def write(method: str, fields: dict[str, Any], key: bytes) -> bytes:
    body = msgpack.packb(fields)
    body = DEFLATED + compress(body, 1) if len(body) >= DEFLATE_FROM else PLAIN + body
    seal = b64encode(_seal(method, body, key)).decode()
    return rpc.call(method, {"body": b64encode(body).decode(), "seal": seal})


def read(text: bytes | str, key: bytes) -> tuple[str, dict[str, Any]]:
    """Method and fields. Raises MessageError."""
    try:
        message = rpc.parse(text)
        if not isinstance(message, rpc.Call) or not isinstance(message.params, dict):
            raise MessageError("no notification")
        body = b64decode(message.params["body"], validate=True)
        if b64decode(message.params["seal"], validate=True) != _seal(message.method, body, key):
            raise MessageError("the seal does not fit")
        fields = msgpack.unpackb(_plain(body), strict_map_key=False)
    except (rpc.RpcError, ZlibError, KeyError, TypeError, ValueError, msgpack.UnpackException) as problem:
        raise MessageError(str(problem)[:MAX_TEXT_CHARS]) from None
    if not isinstance(fields, dict):
        raise MessageError("no map of fields")
    return message.method, fields


def _plain(body: bytes) -> bytes:
    if body[:1] == PLAIN:
        return body[1:]
    inflating = decompressobj()
    plain = inflating.decompress(body[1:], MAX_BODY_BYTES)
    if body[:1] != DEFLATED or not inflating.eof:
        raise MessageError(f"a body of more than {MAX_BODY_BYTES} bytes, or of a form that is not known")
    return plain


def int_field(fields: dict[str, Any], name: str) -> int:
    """A number of the fields. Raises MessageError."""
    value = fields.get(name)
    if type(value) is not int or not 0 <= value < 1 << 63:
        raise MessageError(f"{name}: a whole number")
    return value


def text_field(fields: dict[str, Any], name: str, most: int = MAX_TEXT_CHARS) -> str:
    value = fields.get(name)
    if type(value) is not str or len(value) > most:
        raise MessageError(f"{name}: text of at most {most} characters")
    return value


def bytes_field(fields: dict[str, Any], name: str, most: int) -> bytes:
    value = fields.get(name)
    if type(value) is not bytes or len(value) > most:
        raise MessageError(f"{name}: at most {most} bytes")
    return value
