"""Messages of a control process and the ingresses that watch it: sealed bodies in JSON-RPC notifications. No I/O.

    {"jsonrpc": "2.0", "method": "rollout.step", "params": {"body": BASE64, "seal": BASE64}}

The body is a map packed by msgpack: objects are bytes, and one base64 over all is smaller than one for each. Its
first byte tells whether the rest is deflated, as larger bodies are. The seal is a keyed digest over method and body,
so that bytes altered in transit, by accident or by someone without the key, are refused before anything of them is
parsed. Without a key the digest finds accidents only.

    from the control process
    rollout.beat   {head, least, current, waits, nonce}
                                                   its newest version; the least acting version of all ingresses;
                                                   whether a majority hears it; whether messages are queued; the
                                                   nonce until it is watched
    rollout.step   {step, digest}                  one change set as change_sets.py packs it, and the digest of the
                                                   whole store after it
    rollout.mend   {base, version, piece, rows, marks, digest, more}
                                                   the delta to version ``base``, in numbered chunks, the digest with
                                                   the last
    rollout.ask    {}                              requests the digests of all buckets
    from the watcher
    rollout.watch  {who, nonce, version, digest, acts, repair}
    rollout.parts  {version, digests, repair}
    rollout.acts   {version, why}                  when the acting version changes, and as a heartbeat; why: a fault
                                                   of its disk
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

SEAL_BYTES = 16
MAX_NAME_CHARS = 128  # of a watcher
MAX_TEXT_CHARS = 300  # of a reason; longer ones are cut
MAX_MESSAGE_BYTES = 2 * 1_048_576  # a change set of the largest size in base64, with a margin
MAX_BODY_BYTES = 2 * 1_048_576  # inflated
MIN_DEFLATED_BYTES = 1_024  # compression saves little on smaller bodies
PLAIN, DEFLATED = b"\x00", b"\x01"


class MessageError(ValueError):
    """A message that is malformed or not sealed with this key."""


def _seal(method: str, body: bytes, key: bytes) -> bytes:
    return blake2b(body, digest_size=SEAL_BYTES, key=key[:64], person=method.encode()[:16]).digest()


def write(method: str, fields: dict[str, Any], key: bytes) -> bytes:
    """Encode and seal a message."""
    body = msgpack.packb(fields)
    body = DEFLATED + compress(body, 1) if len(body) >= MIN_DEFLATED_BYTES else PLAIN + body
    seal = b64encode(_seal(method, body, key)).decode()
    return rpc.call(method, {"body": b64encode(body).decode(), "seal": seal})


def read(text: bytes | str, key: bytes) -> tuple[str, dict[str, Any]]:
    """Check the seal of a message and return its method and fields. Raises MessageError."""
    try:
        message = rpc.parse(text)
        if not isinstance(message, rpc.Call) or not isinstance(message.params, dict):
            raise MessageError("not a notification")
        body = b64decode(message.params["body"], validate=True)
        if b64decode(message.params["seal"], validate=True) != _seal(message.method, body, key):
            raise MessageError("the seal does not fit")
        fields = msgpack.unpackb(_inflate(body), strict_map_key=False)
    except (rpc.RpcError, ZlibError, KeyError, TypeError, ValueError, msgpack.UnpackException) as problem:
        raise MessageError(str(problem)[:MAX_TEXT_CHARS]) from None
    if not isinstance(fields, dict):
        raise MessageError("not a map of fields")
    return message.method, fields


def _inflate(body: bytes) -> bytes:
    if body[:1] == PLAIN:
        return body[1:]
    inflater = decompressobj()
    plain = inflater.decompress(body[1:], MAX_BODY_BYTES)
    if body[:1] != DEFLATED or not inflater.eof:
        raise MessageError(f"a body of more than {MAX_BODY_BYTES} bytes, or of an unknown encoding")
    return plain


def int_field(fields: dict[str, Any], name: str) -> int:
    """A field that is an integer from 0 to 2**63 - 1. Raises MessageError."""
    value = fields.get(name)
    if type(value) is not int or not 0 <= value < 1 << 63:
        raise MessageError(f"{name}: not a whole number")
    return value


def text_field(fields: dict[str, Any], name: str, max_chars: int = MAX_TEXT_CHARS) -> str:
    """A field that is text of at most ``max_chars`` characters. Raises MessageError."""
    value = fields.get(name)
    if type(value) is not str or len(value) > max_chars:
        raise MessageError(f"{name}: not text of at most {max_chars} characters")
    return value


def bytes_field(fields: dict[str, Any], name: str, max_bytes: int) -> bytes:
    """A field of at most ``max_bytes`` bytes. Raises MessageError."""
    value = fields.get(name)
    if type(value) is not bytes or len(value) > max_bytes:
        raise MessageError(f"{name}: not at most {max_bytes} bytes")
    return value
