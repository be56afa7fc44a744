"""The adapter: many independent policies behind one JSON-lines wire on standard input and output."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable
from typing import Any, BinaryIO

import orjson

from rushweir import interface as i
from rushweir.options import Fields, parse_settings
from rushweir.policy import Policy

RESULTS = {
    "GOOD": i.Result.OK,
    "BAD": i.Result.ERROR,
    "FULL": i.Result.FULL,
    "LATE": i.Result.TIMEOUT,
    "NOCONN": i.Result.CONNECT_FAILED,
    "RST": i.Result.RESET,
    "CXL": i.Result.CANCELLED,
    "NOP": i.Result.SUPERSEDED,
}
SCOPES = {s.value: s for s in i.Scope}
STATES = {"SERVING": i.State.READY, "DRAINING": i.State.DRAINING, "DELETED": i.State.GONE}


class WireError(ValueError):
    """A line that is not of this wire; the text names the line and the field."""


def _server(e: Fields) -> i.Server:
    return i.Server(
        address=e["backend"],
        zone=e.get("failureDomain", ""),
        cell=e.get("pod", 0),
        online_since_ms=e.get("onlineSinceMs", 0.0),
        weight=e.get("weight", 1.0),
        kind=e.get("shape", ""),
        state=STATES[e["health"]],
    )


def _request(m: Fields) -> i.Request:
    return i.Request(
        m["tid"], m["class"], m.get("plan", ""), m.get("clientId", ""), m["notAfterMs"],
        m.get("quotaUnits", 0), m.get("doors", 1), m.get("first", 0),
    )  # fmt: skip


def _outcome(m: Fields) -> i.Outcome:
    return i.Outcome(
        m["tid"], m.get("attempt", 0), m["backend"], RESULTS[m["stateCode"]], m.get("spentMs", 0.0),
        m.get("settled", False), m.get("quotaUse", 0), m.get("billed", 0), m.get("load"),
    )  # fmt: skip


EVENTS: dict[str, Callable[[Fields], i.Event]] = {
    "REQ": _request,
    "RESOLVED": _outcome,
    "TIMER": lambda m: i.Timer(m.get("ref", 0)),
    "FIRST_BYTE": lambda m: i.FirstByte(m["tid"], m.get("attempt", 0), m["backend"], m.get("spentMs", 0.0)),
    "CLIENT_GONE": lambda m: i.Gone(m["tid"]),
    "FROM_PEER": lambda m: i.PeerMessage(m.get("src", 0), m.get("contents", "")),
    "SUM": lambda m: i.Counted(
        m.get("counter", 0), RESULTS[m["stateCode"]], m.get("value", 0), m.get("spentMs", 0.0)
    ),
    "HEALTH": lambda m: i.Probed(m["backend"], RESULTS[m["stateCode"]], m.get("spentMs", 0.0), m.get("load")),
}

ACTIONS: dict[type, Callable[[Any], Fields]] = {
    i.Send: lambda a: {"op": "TRY", "tid": a.id, "backend": a.server, "tryUntilMs": a.until_ms},
    i.Refuse: lambda a: {"op": "DECLINE", "tid": a.id, "stayAwayMs": a.retry_after_ms},
    i.Fail: lambda a: {"op": "LOSE", "tid": a.id},
    i.Cancel: lambda a: {"op": "REVOKE", "tid": a.id, "attempt": a.attempt},
    i.SetTimer: lambda a: {"op": "AFTER", "ref": a.ref, "offsetMs": a.after_ms},
    i.Tell: lambda a: {"op": "MEMO_TO", "dest": "*" if a.to is None else a.to, "contents": a.text},
    i.Count: lambda a: {
        "op": "ADD_AND_GET", "counter": a.name, "n": a.amount, "forgetAfterMs": a.forget_after_ms,
    },
    i.Probe: lambda a: {"op": "TOUCH", "backend": a.server},
    i.Watch: lambda a: {"op": "TAIL", "enable": a.on},
    i.Fetch: lambda a: {"op": "LIST_ALL"},
    i.Log: lambda a: {"op": "REMARK", "message": a.text},
}  # fmt: skip


class Host:
    """The instances of this process. ``line`` takes one wire line and returns what it answers."""

    def __init__(self) -> None:
        self.now = 0.0
        self.instances: dict[int, Policy] = {}
        self.directories: dict[int, tuple[i.Server, ...]] = {}
        self.replies: list[bytes] = []

    def handle_line(self, message: Fields) -> bytes | None:
        op = message.get("op")
        if op == "CLOCK":
            self.now = message["atTimeMs"]
        elif op == "EOF_BATCH":
            self.replies.append(b'{"op":"END"}\n')
            reply, self.replies = b"\n".join(self.replies), []
            return reply
        elif op == "DIRECTORY":
            self.directories[message.get("sheet", 0)] = tuple(_server(e) for e in message.get("membersList", ()))
        elif op == "DOWN":
            self.instances.pop(message["who"], None)
        else:
            self._event(op, message)
        return None

    def _event(self, op: object, message: Fields) -> None:
        who = message["who"]
        event: i.Event | None = None
        if op == "UPDATE":
            scope = SCOPES[message["scope"]]
            servers = () if scope is i.Scope.FAILED else self.directories[message.get("sheet", 0)]
            event = i.Members(scope, servers)
        elif op in EVENTS:
            event = EVENTS[op](message)
        elif op != "BEGIN":
            raise WireError(f"unknown op {op!r}")
        start = parse_settings(message["options"]) if event is None else None
        try:
            if start is not None:
                policy = self.instances[who] = Policy(start, message.get("randomSeed", 0), self.now)
                actions = policy.start()
            else:
                actions = self.instances[who].handle(self.now, event)
        except Exception as error:  # noqa: BLE001 - whatever the module raised is reported, not hidden
            if who not in self.instances and start is None:
                raise WireError(f"no instance {who}") from None
            text = f"{type(error).__name__}: {error}"
            self.replies.append(orjson.dumps({"op": "FAULT", "who": who, "message": text}))
            return
        for action in actions:
            fields = ACTIONS[type(action)](action)
            fields["who"] = who
            self.replies.append(orjson.dumps(fields))


def serve(lines: Iterable[bytes], write: Callable[[bytes], object], complain: Callable[[str], object]) -> int:
    """Answer batches until the input ends; returns the exit code."""
    host = Host()
    for number, raw in enumerate(lines, 1):
        if not raw.strip():
            continue
        try:
            reply = host.handle_line(orjson.loads(raw))
        except KeyError as error:
            complain(f"rushweir: line {number}: missing or unknown field or value {error}\n")
            return 2
        except (ValueError, TypeError, AttributeError) as error:
            complain(f"rushweir: line {number}: {error}\n")
            return 2
        if reply is not None:
            write(reply)
    return 0


def main(stdin: BinaryIO | None = None, stdout: BinaryIO | None = None) -> int:
    out = stdout or sys.stdout.buffer

    def write(reply: bytes) -> None:
        out.write(reply)
        out.flush()

    return serve(stdin or sys.stdin.buffer, write, sys.stderr.write)


if __name__ == "__main__":
    sys.exit(main())
