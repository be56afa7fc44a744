"""The simulator's adapter: many independent policies behind JSON lines on standard input and output."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable
from typing import Any, BinaryIO

import orjson

from rushweir import interface
from rushweir.options import Fields, parse_settings
from rushweir.policy import Policy

RESULTS = {
    "GOOD": interface.Result.OK,
    "BAD": interface.Result.ERROR,
    "FULL": interface.Result.FULL,
    "LATE": interface.Result.TIMEOUT,
    "NOCONN": interface.Result.CONNECT_FAILED,
    "RST": interface.Result.RESET,
    "CXL": interface.Result.CANCELLED,
    "NOP": interface.Result.SUPERSEDED,
}
SCOPES = {s.value: s for s in interface.Scope}
STATES = {"SERVING": interface.State.READY, "DRAINING": interface.State.DRAINING, "DELETED": interface.State.GONE}


class WireError(ValueError):
    """A line that is not valid on this wire; the text names the field."""


def _server(entry: Fields) -> interface.Server:
    return interface.Server(
        address=entry["backend"],
        zone=entry.get("failureDomain", ""),
        cell=entry.get("pod", 0),
        online_since_ms=entry.get("onlineSinceMs", 0.0),
        weight=entry.get("weight", 1.0),
        kind=entry.get("shape", ""),
        state=STATES[entry["health"]],
    )


def _request(message: Fields) -> interface.Request:
    return interface.Request(
        message["tid"],
        message["class"],
        message.get("plan", ""),
        message.get("clientId", ""),
        message["notAfterMs"],
        message.get("quotaUnits", 0),
        message.get("doors", 1),
        message.get("first", 0),
    )


def _outcome(message: Fields) -> interface.Outcome:
    return interface.Outcome(
        message["tid"],
        message.get("attempt", 0),
        message["backend"],
        RESULTS[message["stateCode"]],
        message.get("spentMs", 0.0),
        message.get("settled", False),
        message.get("quotaUse", 0),
        message.get("billed", 0),
        message.get("load"),
    )


EVENTS: dict[str, Callable[[Fields], interface.Event]] = {
    "REQ": _request,
    "RESOLVED": _outcome,
    "TIMER": lambda message: interface.Timer(message.get("ref", 0)),
    "FIRST_BYTE": lambda message: interface.FirstByte(
        message["tid"], message.get("attempt", 0), message["backend"], message.get("spentMs", 0.0)
    ),
    "CLIENT_GONE": lambda message: interface.Gone(message["tid"]),
    "FROM_PEER": lambda message: interface.PeerMessage(message.get("src", 0), message.get("contents", "")),
    "SUM": lambda message: interface.Counted(
        message.get("counter", 0), RESULTS[message["stateCode"]], message.get("value", 0), message.get("spentMs", 0.0)
    ),
    "HEALTH": lambda message: interface.Probed(
        message["backend"], RESULTS[message["stateCode"]], message.get("spentMs", 0.0), message.get("load")
    ),
}

ACTIONS: dict[type, Callable[[Any], Fields]] = {
    interface.Send: lambda action: {
        "op": "TRY",
        "tid": action.id,
        "backend": action.server,
        "tryUntilMs": action.until_ms,
    },
    interface.Refuse: lambda action: {"op": "DECLINE", "tid": action.id, "stayAwayMs": action.retry_after_ms},
    interface.Fail: lambda action: {"op": "LOSE", "tid": action.id},
    interface.Cancel: lambda action: {"op": "REVOKE", "tid": action.id, "attempt": action.attempt},
    interface.SetTimer: lambda action: {"op": "AFTER", "ref": action.ref, "offsetMs": action.after_ms},
    interface.Tell: lambda action: {
        "op": "MEMO_TO",
        "dest": "*" if action.to is None else action.to,
        "contents": action.text,
    },
    interface.Count: lambda action: {
        "op": "ADD_AND_GET",
        "counter": action.name,
        "n": action.amount,
        "forgetAfterMs": action.forget_after_ms,
    },
    interface.Probe: lambda action: {"op": "TOUCH", "backend": action.server},
    interface.Watch: lambda action: {"op": "TAIL", "enable": action.on},
    interface.Fetch: lambda action: {"op": "LIST_ALL"},
    interface.Log: lambda action: {"op": "REMARK", "message": action.text},
}


class Host:
    """The policies of this process, by instance number."""

    def __init__(self) -> None:
        self.now = 0.0
        self.instances: dict[int, Policy] = {}
        self.directories: dict[int, tuple[interface.Server, ...]] = {}
        self.replies: list[bytes] = []

    def handle_line(self, message: Fields) -> bytes | None:
        """Handle one line; returns the batch's replies at its end, else None. Raises WireError, KeyError and others
        where the line is not valid."""
        op = message.get("op")
        if op == "CLOCK":
            self.now = message["atTimeMs"]
        elif op == "EOF_BATCH":
            self.replies.append(b'{"op":"END"}\n')
            reply = b"\n".join(self.replies)
            self.replies = []
            return reply
        elif op == "DIRECTORY":
            self.directories[message.get("sheet", 0)] = tuple(
                _server(entry) for entry in message.get("membersList", ())
            )
        elif op == "DOWN":
            self.instances.pop(message["who"], None)
        else:
            self._handle_event(op, message)
        return None

    def _handle_event(self, op: object, message: Fields) -> None:
        who = message["who"]
        event: interface.Event | None = None
        if op == "UPDATE":
            scope = SCOPES[message["scope"]]
            servers = () if scope is interface.Scope.FAILED else self.directories[message.get("sheet", 0)]
            event = interface.Members(scope, servers)
        elif op in EVENTS:
            event = EVENTS[op](message)
        elif op != "BEGIN":
            raise WireError(f"unknown op {op!r}")
        settings = parse_settings(message["options"]) if event is None else None
        try:
            if settings is not None:
                policy = self.instances[who] = Policy(settings, message.get("randomSeed", 0), self.now)
                actions = policy.start()
            else:
                actions = self.instances[who].handle(self.now, event)
        except Exception as error:  # noqa: BLE001 - whatever the policy raised is reported
            if who not in self.instances and settings is None:
                raise WireError(f"no instance {who}") from None
            text = f"{type(error).__name__}: {error}"
            self.replies.append(orjson.dumps({"op": "FAULT", "who": who, "message": text}))
            return
        for action in actions:
            fields = ACTIONS[type(action)](action)
            fields["who"] = who
            self.replies.append(orjson.dumps(fields))


def serve(lines: Iterable[bytes], write: Callable[[bytes], object], report: Callable[[str], object]) -> int:
    """Answer batches until the input ends.

    Returns the exit code: 0, or 2 after a line that is not valid, which is named to ``report``.
    """
    host = Host()
    for number, raw in enumerate(lines, 1):
        if not raw.strip():
            continue
        try:
            reply = host.handle_line(orjson.loads(raw))
        except KeyError as error:
            report(f"rushweir: line {number}: missing or unknown field or value {error}\n")
            return 2
        except (ValueError, TypeError, AttributeError) as error:
            report(f"rushweir: line {number}: {error}\n")
            return 2
        if reply is not None:
            write(reply)
    return 0


def main(stdin: BinaryIO | None = None, stdout: BinaryIO | None = None) -> int:
    """Serve standard input and output; returns the exit code."""
    out = stdout or sys.stdout.buffer

    def write(reply: bytes) -> None:
        out.write(reply)
        out.flush()

    return serve(stdin or sys.stdin.buffer, write, sys.stderr.write)


if __name__ == "__main__":
    sys.exit(main())
