"""Text messages of one WebSocket connection (RFC 6455, RFC 7692), without I/O: bytes in, messages out.

Frames are handled by the sans-I/O protocol of ``websockets``. This module adds what that leaves to its user: joining
fragments, checking UTF-8 across them, rejecting binary messages, and limiting the number of fragments.
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

# The library logs every frame; with a disabled logger this costs a check of a flag instead of a call for each.
NO_LOGGER = logging.getLogger("rushweir.websocket")
NO_LOGGER.disabled = True
NO_LOGGER.setLevel(logging.CRITICAL + 1)

SUBPROTOCOL = "jsonrpc"
DEFLATE_WINDOW_BITS = 12  # 4 KiB: with windows of 32 KiB 5,000 idle connections would take 300 MiB
MAX_FRAGMENTS = 4096  # of one message, since the limit of its size does not cover empty fragments


def server_protocol(max_message: int) -> ServerProtocol:
    """Returns the server's protocol; ``max_message`` limits a message, in bytes after decompression."""
    deflate = ServerPerMessageDeflateFactory(
        server_no_context_takeover=True,  # no window between messages: idle connections take little memory
        client_no_context_takeover=True,
        server_max_window_bits=DEFLATE_WINDOW_BITS,
        client_max_window_bits=DEFLATE_WINDOW_BITS,
        compress_settings={"memLevel": 5},
    )
    return ServerProtocol(extensions=[deflate], subprotocols=[SUBPROTOCOL], max_size=max_message, logger=NO_LOGGER)


def client_protocol(url: str, max_message: int, deflate: bool = False) -> ClientProtocol:
    """Returns the client's protocol, for links inside the fleet; it compresses only with ``deflate``."""
    extensions = [ClientPerMessageDeflateFactory(compress_settings={"memLevel": 5})] if deflate else None
    return ClientProtocol(
        parse_uri(url),
        extensions=extensions,
        subprotocols=[SUBPROTOCOL],
        max_size=max_message,
        logger=NO_LOGGER,
    )


def release(protocol: Protocol) -> None:
    """Frees what an ended connection's protocol holds of an incomplete message. Protocol and parser refer to each
    other, and the collector of such cycles runs rarely (``calm_collector``)."""
    protocol.parser.close()
    protocol.parser_exc = None  # with its traceback
    protocol.reader.buffer.clear()


class Messages:
    """The messages of a connection.

    ``receive`` returns the text messages that the bytes complete. Output of the protocol itself (pongs, the echo of
    a close, a failure) and of ``send`` is fetched with ``take``. The connection of a peer that violates the protocol
    is failed with the code of RFC 6455, 7.4.1, and nothing more is read.
    """

    __slots__ = (
        "decoder", "early_frames", "eof", "failed", "fragment_count", "fragments", "frames_received", "last_pong",
        "protocol",
    )  # fmt: skip

    def __init__(self, protocol: Protocol) -> None:
        self.protocol = protocol
        self.fragments, self.fragment_count = bytearray(), 0  # of the message that is not complete
        self.decoder = None  # set while a fragmented message is open
        self.eof = False
        self.frames_received = 0  # of any kind, pongs too: shows that the peer is alive
        self.early_frames: list[Frame] = []  # read together with the handshake's response
        self.failed = False  # by this side
        self.last_pong: bytes | None = None  # data of the pong that was read last

    def connect(self, headers: dict[str, str]) -> None:
        """Queues the client's handshake request (RFC 6455, 4.1)."""
        request = self.protocol.connect()
        for name, value in headers.items():
            request.headers[name] = value
        self.protocol.send_request(request)

    def receive_handshake(self, data: bytes) -> bool | None:
        """Takes bytes of the response to the client's handshake. Returns None until it is complete, then whether the
        connection is open. Messages that arrived with it are read with ``messages``."""
        self.protocol.receive_data(data)
        events = self.protocol.events_received()
        self.early_frames = [event for event in events if isinstance(event, Frame)]
        if self.protocol.handshake_exc is not None:
            return False
        return True if self.open else None

    @property
    def open(self) -> bool:
        """Whether messages can be sent and received."""
        return self.protocol.state is State.OPEN

    @property
    def closed_by_peer(self) -> bool:
        """Whether the peer's close frame was read."""
        return self.protocol.close_rcvd is not None

    @property
    def close_code(self) -> int | None:
        """The code with which this side closed or failed the connection, else that of the peer; None before."""
        sent, received = self.protocol.close_sent, self.protocol.close_rcvd
        if sent is not None:
            return int(sent.code)
        return int(received.code) if received is not None else None

    @property
    def held_bytes(self) -> int:
        """The memory of the message, or of the handshake, that is not complete."""
        return len(self.protocol.reader.buffer) + len(self.fragments)

    def stop_reading(self) -> None:
        """Drops the message that is not complete, and takes no more bytes. Messages can still be sent."""
        self.eof = True
        self.protocol.reader.buffer.clear()
        self.fragments.clear()

    def receive(self, data: bytes) -> list[bytes]:
        """Takes bytes that were read and returns the messages that they complete."""
        if self.eof or self.protocol.reader.eof:
            return []
        self.protocol.receive_data(data)
        return self.messages()

    def discard(self, data: bytes) -> int:
        """Takes bytes that were read after this side has closed: the peer's close is still handled, its messages
        are not. Returns how many messages began in them."""
        if self.eof or self.protocol.reader.eof:
            return 0
        self.protocol.receive_data(data)
        opcodes = [frame.opcode for frame in self.protocol.events_received()]
        self.frames_received += len(opcodes)
        return opcodes.count(Opcode.TEXT) + opcodes.count(Opcode.BINARY)

    def messages(self) -> list[bytes]:
        """Returns the messages of the frames that were received, early ones first: up to the peer's close, also where
        that came in the same read, or to the frame for which this side failed the connection."""
        texts: list[bytes] = []
        frames, self.early_frames = [*self.early_frames, *self.protocol.events_received()], []
        for frame in frames:
            self.frames_received += 1
            opcode = frame.opcode
            if opcode is Opcode.TEXT and frame.fin:
                # A message in one frame, as nearly all are: the JSON parser checks the UTF-8 (RFC 6455, 8.1).
                texts.append(bytes(frame.data))
            elif opcode is Opcode.TEXT or opcode is Opcode.CONT:
                if (text := self.fragment(frame)) is not None:
                    texts.append(text)
            elif opcode is Opcode.PONG:
                self.last_pong = bytes(frame.data)
            elif opcode is Opcode.BINARY:
                # JSON-RPC is text; 1003 is for "a type of data it cannot accept" (RFC 6455, 7.4.1).
                self.fail(CloseCode.UNSUPPORTED_DATA, "text messages only")
            if self.failed:
                break
        return texts

    def fragment(self, frame: Frame) -> bytes | None:
        """Takes one fragment; returns the message when it is complete. Control frames between fragments (RFC 6455,
        5.4) are answered by the protocol and are not passed on."""
        if self.decoder is None:
            self.decoder = getincrementaldecoder("utf-8")()
            self.fragments, self.fragment_count = bytearray(), 0
        self.fragment_count += 1
        if self.fragment_count > MAX_FRAGMENTS:
            self.fail(CloseCode.MESSAGE_TOO_BIG, "too many fragments")
            return None
        try:
            # A fragment may end within a character, so the check covers the whole message (8.1).
            self.decoder.decode(bytes(frame.data), frame.fin)
        except UnicodeDecodeError:
            self.fail(CloseCode.INVALID_DATA, "text is not UTF-8")
            return None
        # In one block: a fragment kept as an object of its own takes many times the memory of its few bytes.
        self.fragments += frame.data
        if not frame.fin:
            return None
        text, self.fragments, self.decoder = bytes(self.fragments), bytearray(), None
        return text

    def send(self, text: bytes) -> bool:
        """Queues one text message; returns False if the connection is not open."""
        if self.protocol.state is not State.OPEN:
            return False
        self.protocol.send_text(text)
        return True

    def ping(self, data: bytes = b"") -> None:
        """Queues a ping, if the connection is open; its pong carries the same data (RFC 6455, 5.5.3)."""
        if self.open:
            self.protocol.send_ping(data)

    def close(self, code: int, reason: str = "") -> None:
        """Starts the closing handshake (RFC 6455, 7.1.2); the reason is cut to the 123 bytes that fit."""
        if self.open:
            self.protocol.send_close(code, reason.encode()[:123].decode(errors="ignore"))

    def fail(self, code: int, reason: str) -> None:
        """Fails the connection (RFC 6455, 7.1.7): a close frame, then the end, without waiting for the echo."""
        self.failed = True
        try:
            self.protocol.fail(code, reason)
        except InvalidState:  # pragma: no cover - the current library accepts a second close
            return

    def receive_eof(self) -> None:
        """The peer has closed its writing side."""
        if not self.eof:
            self.eof = True
            self.protocol.receive_eof()
            self.fragments.clear()
            release(self.protocol)

    def take(self) -> tuple[list[bytes], bool]:
        """Returns the queued output, and whether the writing side is to be closed after it."""
        writes = self.protocol.data_to_send()
        if writes and writes[-1] == SEND_EOF:
            return [data for data in writes if data], True
        return writes, False
