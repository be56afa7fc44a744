"""Text messages of one WebSocket connection (RFC 6455, RFC 7692), without I/O: bytes in, messages out.

The frames are those of the sans-I/O protocol of ``websockets``; what is added here is what that protocol
leaves to its user: putting fragments together, checking UTF-8 over them, refusing binary messages, and the
bound on what waits to be written.
"""

from __future__ import annotations

import logging
from codecs import getincrementaldecoder

from websockets.client import ClientProtocol
from websockets.exceptions import InvalidState
from websockets.extensions.permessage_deflate import (
    ClientPerMessageDeflateFactory,
    ServerPerMessageDeflateFactory,
)
from websockets.frames import CloseCode, Frame, Opcode
from websockets.protocol import SEND_EOF, Protocol, State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

# The library reports every frame to its logger; a disabled one costs a flag instead of a call for each.
QUIET = logging.getLogger("rushweir.websocket")
QUIET.disabled = True
QUIET.setLevel(logging.CRITICAL + 1)

SUBPROTOCOL = "jsonrpc"
DEFLATE_BITS = 12  # 4 KiB windows: 5,000 idle connections with 32 KiB ones would cost 300 MiB
MOST_FRAGMENTS = 4096  # of one message: empty ones add nothing to its size, so the size does not bound them


def server_protocol(max_message: int) -> ServerProtocol:
    """The server's side; ``max_message`` bounds a message in bytes, inflated."""
    deflate = ServerPerMessageDeflateFactory(
        server_no_context_takeover=True,  # no window is kept between messages: idle connections stay small
        client_no_context_takeover=True,
        server_max_window_bits=DEFLATE_BITS,
        client_max_window_bits=DEFLATE_BITS,
        compress_settings={"memLevel": 5},
    )
    return ServerProtocol(extensions=[deflate], subprotocols=[SUBPROTOCOL], max_size=max_message, logger=QUIET)


def client_protocol(url: str, max_message: int, deflate: bool = False) -> ClientProtocol:
    """The client's side, for the links inside the fleet; these do not deflate unless told."""
    extensions = [ClientPerMessageDeflateFactory(compress_settings={"memLevel": 5})] if deflate else None
    return ClientProtocol(
        parse_uri(url), extensions=extensions, subprotocols=[SUBPROTOCOL], max_size=max_message, logger=QUIET
    )


class Messages:
    """The messages of an open connection.

    ``receive`` returns the whole text messages that the bytes complete. Whatever the protocol answers by
    itself (pongs, the echo of a close, a failure) and whatever ``send`` queues is fetched with ``take``.
    A peer that breaks the protocol is failed with the code of RFC 6455, 7.4.1, and nothing more is read.
    """

    __slots__ = ("decoder", "early", "eof", "heard", "parts", "protocol")

    def __init__(self, protocol: Protocol) -> None:
        self.protocol = protocol
        self.parts: list[str] = []
        self.decoder = None  # set while a fragmented message is open
        self.eof = False
        self.heard = 0  # frames of any kind, pongs too: shows that the peer lives
        self.early: list[Frame] = []  # frames that came in one read with the handshake's response

    def connect(self, headers: dict[str, str]) -> None:
        """The client's side: queue the handshake's request (RFC 6455, 4.1)."""
        request = self.protocol.connect()
        for name, value in headers.items():
            request.headers[name] = value
        self.protocol.send_request(request)

    def receive_handshake(self, data: bytes) -> bool | None:
        """The client's side: bytes of the handshake's response; None until it is whole, then whether the
        connection is open. Messages that came with it are read by ``messages``."""
        self.protocol.receive_data(data)
        events = self.protocol.events_received()
        self.early = [e for e in events if isinstance(e, Frame)]
        if self.protocol.handshake_exc is not None:
            return False
        return True if self.open else None

    @property
    def open(self) -> bool:
        return self.protocol.state is State.OPEN

    @property
    def close_code(self) -> int | None:
        """The code this side closed or failed with, else the peer's; None before."""
        sent, received = self.protocol.close_sent, self.protocol.close_rcvd
        if sent is not None:
            return int(sent.code)
        return int(received.code) if received is not None else None

    def receive(self, data: bytes) -> list[bytes | str]:
        if self.eof or self.protocol.reader.eof:
            return []
        self.protocol.receive_data(data)
        return self.messages()

    def messages(self) -> list[bytes | str]:
        found: list[bytes | str] = []
        frames, self.early = [*self.early, *self.protocol.events_received()], []
        for frame in frames:
            self.heard += 1
            opcode = frame.opcode
            if opcode is Opcode.TEXT and frame.fin:
                # Whole in one frame, as nearly all are: the JSON parser checks the UTF-8 (RFC 6455, 8.1).
                found.append(bytes(frame.data))
            elif opcode is Opcode.TEXT or opcode is Opcode.CONT:
                if (text := self.fragment(frame)) is not None:
                    found.append(text)
            elif opcode is Opcode.BINARY:
                # JSON-RPC is text; 1003 is for "a type of data it cannot accept" (RFC 6455, 7.4.1).
                self.fail(CloseCode.UNSUPPORTED_DATA, "text messages only")
            if not self.open:
                break
        return found

    def fragment(self, frame: Frame) -> str | None:
        """Take in one fragment; returns the message when it is whole. A control frame may stand between
        fragments (RFC 6455, 5.4); it is answered by the protocol and does not come here."""
        if self.decoder is None:
            self.decoder = getincrementaldecoder("utf-8")()
            self.parts = []
        if len(self.parts) >= MOST_FRAGMENTS:
            self.fail(CloseCode.MESSAGE_TOO_BIG, "too many fragments")
            return None
        try:
            # A character may be cut by a fragment's end, so the check runs over the whole message (8.1).
            self.parts.append(self.decoder.decode(bytes(frame.data), frame.fin))
        except UnicodeDecodeError:
            self.fail(CloseCode.INVALID_DATA, "text is not UTF-8")
            return None
        if not frame.fin:
            return None
        text, self.parts, self.decoder = "".join(self.parts), [], None
        return text

    def send(self, text: bytes) -> bool:
        """Queue one text message; False when the connection is no longer open."""
        if self.protocol.state is not State.OPEN:
            return False
        self.protocol.send_text(text)
        return True

    def ping(self) -> None:
        if self.open:
            self.protocol.send_ping(b"")

    def close(self, code: int, reason: str = "") -> None:
        """Start the closing handshake (RFC 6455, 7.1.2); the reason is cut to the 123 bytes that fit."""
        if self.open:
            self.protocol.send_close(code, reason.encode()[:123].decode(errors="ignore"))

    def fail(self, code: int, reason: str) -> None:
        """Fail the connection (RFC 6455, 7.1.7): a close frame, then the end, without waiting for the echo."""
        try:
            self.protocol.fail(code, reason)
        except InvalidState:  # pragma: no cover - the library closes twice without complaint today
            return

    def receive_eof(self) -> None:
        if not self.eof:
            self.eof = True
            self.protocol.receive_eof()

    def take(self) -> tuple[list[bytes], bool]:
        """What is to be written now, and whether the writing side ends after it."""
        writes = self.protocol.data_to_send()
        if writes and writes[-1] == SEND_EOF:
            return [w for w in writes if w], True
        return writes, False
