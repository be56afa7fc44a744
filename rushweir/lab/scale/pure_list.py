"""The list: bytes and processor time of one change and of the whole, at a watcher and at the service behind it."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

import orjson

from rushweir import interface as i
from rushweir.discovery import saved_list
from rushweir.discovery.pushed import PushedList
from rushweir.discovery.source import server_to_entry
from rushweir.ingress.core import Core
from rushweir.ingress.websocket import Setup
from rushweir.lab.scale.pure_measure import cpu, traced
from rushweir.lab.scale.pure_policy import LISTS, servers, settings
from rushweir.lab.scale.samples import Role, Sample
from rushweir.link import rpc
from rushweir.policy import Policy

CHANGES = 10  # in a block that is timed


def core(listed: tuple[i.Server, ...] = ()) -> Core:
    """A whole ingress with a list that it watches, and nothing behind it."""
    of = settings()
    made = Core(Setup(of, list_url="ws://127.0.0.1:9/list", boot="s-"), Policy(of, 1, 0.0), 0.0)
    if listed:
        made.list.message(update(listed, "full", 1))
        made.advance(1.0)
    return made


def text(listed: tuple[i.Server, ...], scope: str, version: int) -> bytes:
    """A change as a list service writes it."""
    params = {"scope": scope, "version": version, "servers": [server_to_entry(s) for s in listed]}
    return rpc.call("list.update", params | ({"base": version - 1} if scope == "delta" else {}))


def update(listed: tuple[i.Server, ...], scope: str, version: int) -> rpc.Call:
    message = rpc.parse(text(listed, scope, version))
    assert isinstance(message, rpc.Call)
    return message


def watcher(size: int) -> Iterator[Sample]:
    """One ingress that watches, and a service that tells it."""
    role, by, listed = "list_alone", "backends", servers(size)
    one, whole = core(listed), text(listed, "full", 1)
    version = itertools.count(2)
    times = itertools.count(2)

    def change() -> None:
        for _ in range(CHANGES):
            one.list.message(rpc.parse(text(listed[:1], "delta", next(version))))
            one.advance(float(next(times)))
            one.commands.clear()

    def parsed() -> list[i.Server]:
        alone = PushedList("ws://127.0.0.1:9/list", {}, 1, lambda _: 1, lambda *_: None)
        alone.message(rpc.parse(whole))
        return list(alone.updates[0].servers)

    def took() -> None:
        core().list.message(rpc.parse(whole))
        one.list.message(rpc.parse(whole))
        one.advance(float(next(times)))
        one.commands.clear()
        one.list.version = next(version) - 1

    by_address = {s.address: s for s in parsed()}
    yield Sample(role, "parse_cpu", "ms", by, size, cpu(parsed) * 1e3, "core")
    yield Sample(role, "change_cpu", "ms", by, size, cpu(change, 3) / CHANGES * 1e3, "core")
    yield Sample(role, "whole_cpu", "ms", by, size, cpu(took, 3) * 1e3, "core")
    yield Sample(role, "kept_cpu", "ms", by, size, cpu(lambda: saved_list.dump(by_address, set(), 0.0)) * 1e3, "core")
    # Of a service that tells each watcher by itself: the whole, once written, is sent again and again.
    written = cpu(lambda: orjson.dumps([server_to_entry(s) for s in listed]))
    yield Sample(role, "service_whole_cpu", "ms", by, size, written * 1e3, "core")


def sizes(size: int) -> Iterator[Sample]:
    """What a change and the whole take, on the wire, in memory and on disk."""
    role, by, listed = "list_alone", "backends", servers(size)
    _, memory = traced(lambda: core(listed))
    by_address = {s.address: s for s in listed}
    yield Sample(role, "change_bytes", "B", by, size, len(text(listed[:1], "delta", 2)), "core")
    yield Sample(role, "whole_bytes", "KB", by, size, len(text(listed, "full", 1)) / 1e3, "core")
    yield Sample(role, "memory", "MB", by, size, memory / 1e6, "core")
    yield Sample(role, "kept_bytes", "KB", by, size, len(saved_list.dump(by_address, set(), 0.0)) / 1e3, "core")


ROLES = (Role("list_alone", "A change of the list and the whole, at one ingress", "backends", LISTS, watcher, sizes),)
