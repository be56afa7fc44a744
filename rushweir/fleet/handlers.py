"""What a member does with each kind of message. A body that is not of its kind raises, and is counted by the core."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from rushweir.fleet import frame as f
from rushweir.fleet.leader_lease import NOBODY
from rushweir.fleet.members import unpack
from rushweir.fleet.table import MEMBER

if TYPE_CHECKING:
    from rushweir.fleet.core import Fleet


def whole(value: object) -> int:
    if type(value) is not int:
        raise TypeError("a whole number")
    return value


def join(fleet: Fleet, sender: int, body: list) -> None:
    """Somebody knows this seed only. Nothing is believed of it: it is answered, and will tell of itself."""
    kind, origin, version, data = body[0]
    told = unpack(whole(origin), whole(version), data)
    if kind != MEMBER or origin != sender or told is None:
        raise ValueError("a JOIN tells of its sender")
    if fleet.exchange.welcomes.allows(fleet.now):
        fleet.exchange.welcomes.spend(fleet.now)
        fleet.exchange.welcome(sender, told.address)


def welcome(fleet: Fleet, sender: int, body: list) -> None:
    fleet.merge(body[0])
    if fleet.members.known.get(sender) is not None and not fleet.leaving:
        fleet.send(f.ROWS, sender, [[fleet.table.row((MEMBER, fleet.me))]])


def ping(fleet: Fleet, sender: int, body: list) -> None:
    number, view, _, rows = body
    fleet.merge(rows)
    fleet.exchange.heard(sender, whole(view))
    if not fleet.left:
        fleet.send(f.PROBE_ACK, sender, [whole(number), *fleet.beacon(), fleet.told(sender)])


def ack(fleet: Fleet, sender: int, body: list) -> None:
    number, view, age, rows = body
    fleet.members.answered(sender, whole(number))
    fleet.learn_view_age(sender, number, whole(view), whole(age))
    fleet.merge(rows)
    fleet.exchange.heard(sender, view)


def ping_for(fleet: Fleet, sender: int, body: list) -> None:
    number, target = body
    fleet.members.asked_for(sender, whole(number), whole(target))


def ack_for(fleet: Fleet, sender: int, body: list) -> None:
    number, target = body
    fleet.members.answered_for(whole(number), whole(target))


def nack_for(fleet: Fleet, sender: int, body: list) -> None:
    number, target = body
    fleet.members.not_reached_by(sender, whole(number), whole(target))


def digest(fleet: Fleet, sender: int, body: list) -> None:
    fleet.exchange.differs(sender, body[0], body[1] is True)


def versions(fleet: Fleet, sender: int, body: list) -> None:
    part, all_, answer, theirs = body
    fleet.exchange.versions(sender, whole(part), all_ is True, answer is True, theirs)


def sketch(fleet: Fleet, sender: int, body: list) -> None:
    parts, marks, answer = body
    fleet.exchange.sketched(sender, parts, marks, answer is True)


def rows(fleet: Fleet, sender: int, body: list) -> None:
    fleet.merge(body[0])


def prepare(fleet: Fleet, sender: int, body: list) -> None:
    if fleet.lease_acceptor is not None and not fleet.leaving:
        told = fleet.lease_acceptor.prepare(fleet.now, whole(body[0]))
        if told is not None:
            fleet.send(
                f.PROMISE, sender, [body[0], *told, fleet.view_manager.stored.number, fleet.lease_acceptor.promised]
            )


def promise(fleet: Fleet, sender: int, body: list) -> None:
    ballot, ok, holder, view, highest = body
    if is_seed(fleet, sender):
        fleet.leader_lease.promised(sender, whole(ballot), ok is True, whole(holder), whole(view), whole(highest))


def propose(fleet: Fleet, sender: int, body: list) -> None:
    if fleet.lease_acceptor is not None and not fleet.leaving:
        ok = fleet.lease_acceptor.propose(fleet.now, whole(body[0]), sender)
        if ok is not None:
            fleet.send(f.ACCEPT, sender, [body[0], ok])


def accept(fleet: Fleet, sender: int, body: list) -> None:
    ballot, ok = body
    if is_seed(fleet, sender):
        fleet.leader_lease.on_accept(sender, whole(ballot), ok is True)


def release(fleet: Fleet, sender: int, body: list) -> None:
    if fleet.lease_acceptor is not None:
        fleet.lease_acceptor.release(sender)


def is_seed(fleet: Fleet, sender: int) -> bool:
    """Only the process that is alive at a seed's address has that seed's vote: a majority counts addresses."""
    return fleet.lease_acceptor is not None and sender != NOBODY and any(m.id == sender for m in fleet.other_seeds())


def view_put(fleet: Fleet, sender: int, body: list) -> None:
    ballot, number, base, hash_, page, of, _ = body
    if fleet.lease_acceptor is not None and fleet.view_manager.checked(body) and isinstance(hash_, bytes):
        for value in (ballot, number, base, page, of):
            whole(value)
        fleet.view_manager.put(sender, body)


def view_ack(fleet: Fleet, sender: int, body: list) -> None:
    number, ok, has = body
    if is_seed(fleet, sender):
        fleet.view_manager.voted(sender, whole(number), ok is True, whole(has))


def view_want(fleet: Fleet, sender: int, body: list) -> None:
    if fleet.lease_acceptor is not None:
        fleet.view_manager.wanted(sender, whole(body[0]))


def view_page(fleet: Fleet, sender: int, body: list) -> None:
    number, _, page, of, _ = body
    if fleet.lease_acceptor is not None and fleet.view_manager.checked(body):
        for value in (number, page, of):
            whole(value)
        fleet.view_manager.page(sender, body)


def seat_ask(fleet: Fleet, sender: int, body: list) -> None:
    host, port, wanted, own = body
    fleet.merge(own)
    if fleet.lease_acceptor is None or not isinstance(host, str):
        return
    if not fleet.leader_lease.is_held():
        fleet.exchange.point_to_chair(sender)
    else:
        fleet.view_manager.wish(sender, (host, whole(port)), whole(wanted))


def seat_no(fleet: Fleet, sender: int, body: list) -> None:
    if isinstance(body[0], str) and body[0] != fleet.refusal_reason:
        fleet.refusal_reason = body[0]
        fleet.note("warning", "seat_refused", why=body[0])


def seat_free(fleet: Fleet, sender: int, body: list) -> None:
    if fleet.lease_acceptor is not None:
        fleet.view_manager.freed(sender)


def seat_freed(fleet: Fleet, sender: int, body: list) -> None:
    fleet.seat_freed()


def app(fleet: Fleet, sender: int, body: list) -> None:
    taker = fleet.apps.get(whole(body[0]))
    if taker is None:
        fleet.counts["unknown_topics"] += 1
    else:
        taker(sender, body[1:])


HANDLERS: dict[int, Callable[[Any, int, list], None]] = {
    f.JOIN: join, f.JOIN_REPLY: welcome, f.PROBE: ping, f.PROBE_ACK: ack,
    f.INDIRECT_PROBE: ping_for, f.INDIRECT_ACK: ack_for, f.INDIRECT_NACK: nack_for,
    f.DIGEST: digest, f.VERSIONS: versions, f.SKETCH: sketch, f.ROWS: rows,
    f.PREPARE: prepare, f.PROMISE: promise, f.PROPOSE: propose, f.ACCEPT: accept, f.LEASE_RELEASE: release,
    f.VIEW_PUT: view_put, f.VIEW_ACK: view_ack, f.VIEW_WANT: view_want, f.VIEW_PAGE: view_page,
    f.SEAT_ASK: seat_ask, f.SEAT_NO: seat_no, f.SEAT_FREE: seat_free, f.SEAT_FREED: seat_freed, f.APP: app,
}  # fmt: skip
