"""CPU of one message on its way client, relay, echo and back, without sockets, by WebSocket library.

    .venv/bin/pip install wsproto==1.3.2; .venv/bin/python -m benchmarks.websocket_libraries

Both sides of each of the two connections are driven in memory by the library's sans-I/O protocol, 400 bytes of
text a message. picows has no protocol without I/O (its parser is the asyncio protocol of a socket), so it can't be
driven like this and isn't measured here.
"""

from __future__ import annotations

import time

TEXT = b'{"jsonrpc":"2.0","id":1,"method":"booking","params":{"data":"' + b"x" * 330 + b'"}}'
ROUNDS = 20_000


def websockets_pair():
    from rushweir.link.websocket import Messages, client_protocol, server_protocol

    client, server = Messages(client_protocol("ws://x/", 1 << 20)), Messages(server_protocol(1 << 20))
    client.connect({})
    server.protocol.receive_data(b"".join(client.take()[0]))
    server.protocol.send_response(server.protocol.accept(server.protocol.events_received()[0]))
    assert client.receive_handshake(b"".join(server.take()[0]))

    def move(a, b, text):
        a.send(text)
        return b.receive(b"".join(a.take()[0]))[0]

    return client, server, move


def wsproto_pair():
    from wsproto import ConnectionType, WSConnection
    from wsproto.events import AcceptConnection, Request, TextMessage

    client, server = WSConnection(ConnectionType.CLIENT), WSConnection(ConnectionType.SERVER)
    server.receive_data(client.send(Request(host="x", target="/")))
    list(server.events())
    client.receive_data(server.send(AcceptConnection()))
    list(client.events())

    def move(a, b, text):
        b.receive_data(a.send(TextMessage(data=text if isinstance(text, str) else text.decode())))
        return next(iter(b.events())).data

    return client, server, move


def relay_us(pair) -> float:
    """Client to relay to echo and back: four messages, each sent and received once."""
    c1, s1, move = pair()
    c2, s2, _ = pair()
    best = []
    for _ in range(3):
        began = time.process_time()
        for _ in range(ROUNDS):
            text = move(c1, s1, TEXT)
            text = move(c2, s2, text)
            text = move(s2, c2, text)
            move(s1, c1, text)
        best.append((time.process_time() - began) * 1e6 / ROUNDS)
    return min(best)


def main() -> None:
    for name, pair in (("websockets", websockets_pair), ("wsproto", wsproto_pair)):
        try:
            print(f"{name:12} {relay_us(pair):7.1f} us for the way there and back")
        except ImportError:
            print(f"{name:12} not installed")


if __name__ == "__main__":
    main()
