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


def as_int(value: object) -> int:
    if type(value) is not int:
        raise TypeError("a whole number")
    return value


def join(fleet: Fleet, sender: int, body: list) -> None:
    """Somebody knows this seed only. Nothing is believed of it: it is answered, and will tell of itself."""
    kind, origin, version, data = body[0]
    told = unpack(as_int(origin), as_int(version), data)
    if kind != MEMBER or origin != sender or told is None:
        raise ValueError("a JOIN tells of its sender")
    if fleet.exchange.join_reply_budget.allows(fleet.now):
        fleet.exchange.join_reply_budget.spend(fleet.now)
        fleet.exchange.reply_to_join(sender, told.address)


def join_reply(fleet: Fleet, sender: int, body: list) -> None:
    fleet.merge(body[0])
    if fleet.members.known.get(sender) is not None and not fleet.leaving:
        fleet.send(f.ROWS, sender, [[fleet.table.row((MEMBER, fleet.me))]])


def probe(fleet: Fleet, sender: int, body: list) -> None:
    number, view, _, rows = body
    fleet.merge(rows)
    fleet.exchange.on_view_report(sender, as_int(view))
    if not fleet.left:
        fleet.send(f.PROBE_ACK, sender, [as_int(number), *fleet.view_report(), fleet.piggyback_rows(sender)])


def probe_ack(fleet: Fleet, sender: int, body: list) -> None:
    number, view, age, rows = body
    fleet.members.on_ack(sender, as_int(number))
    fleet.learn_view_age(sender, number, as_int(view), as_int(age))
    fleet.merge(rows)
    fleet.exchange.on_view_report(sender, view)


def indirect_probe(fleet: Fleet, sender: int, body: list) -> None:
    number, target = body
    fleet.members.on_indirect_probe(sender, as_int(number), as_int(target))


def indirect_ack(fleet: Fleet, sender: int, body: list) -> None:
    number, target = body
    fleet.members.on_indirect_ack(as_int(number), as_int(target))


def indirect_nack(fleet: Fleet, sender: int, body: list) -> None:
    number, target = body
    fleet.members.on_indirect_nack(sender, as_int(number), as_int(target))


def digest(fleet: Fleet, sender: int, body: list) -> None:
    fleet.exchange.on_digest(sender, body[0], body[1] is True)


def versions(fleet: Fleet, sender: int, body: list) -> None:
    part, all_, answer, theirs = body
    fleet.exchange.on_versions(sender, as_int(part), all_ is True, answer is True, theirs)


def sketch(fleet: Fleet, sender: int, body: list) -> None:
    parts, marks, answer = body
    fleet.exchange.on_sketch(sender, parts, marks, answer is True)


def rows(fleet: Fleet, sender: int, body: list) -> None:
    fleet.merge(body[0])


def prepare(fleet: Fleet, sender: int, body: list) -> None:
    if fleet.lease_acceptor is not None and not fleet.leaving:
        told = fleet.lease_acceptor.prepare(fleet.now, as_int(body[0]))
        if told is not None:
            fleet.send(
                f.PROMISE,
                sender,
                [body[0], *told, fleet.view_manager.stored.number, fleet.lease_acceptor.promised_ballot],
            )


def promise(fleet: Fleet, sender: int, body: list) -> None:
    ballot, ok, holder, view, highest = body
    if is_seed(fleet, sender):
        fleet.leader_lease.on_promise(
            sender, as_int(ballot), ok is True, as_int(holder), as_int(view), as_int(highest)
        )


def propose(fleet: Fleet, sender: int, body: list) -> None:
    if fleet.lease_acceptor is not None and not fleet.leaving:
        ok = fleet.lease_acceptor.propose(fleet.now, as_int(body[0]), sender)
        if ok is not None:
            fleet.send(f.ACCEPT, sender, [body[0], ok])


def accept(fleet: Fleet, sender: int, body: list) -> None:
    ballot, ok = body
    if is_seed(fleet, sender):
        fleet.leader_lease.on_accept(sender, as_int(ballot), ok is True)


def lease_release(fleet: Fleet, sender: int, body: list) -> None:
    if fleet.lease_acceptor is not None:
        fleet.lease_acceptor.release(sender)


def is_seed(fleet: Fleet, sender: int) -> bool:
    """Only the process that is alive at a seed's address has that seed's vote: a majority counts addresses."""
    return fleet.lease_acceptor is not None and sender != NOBODY and any(m.id == sender for m in fleet.other_seeds())


def view_propose(fleet: Fleet, sender: int, body: list) -> None:
    ballot, number, base, hash_, page, of, _ = body
    if fleet.lease_acceptor is not None and fleet.view_manager.is_well_formed(body) and isinstance(hash_, bytes):
        for value in (ballot, number, base, page, of):
            as_int(value)
        fleet.view_manager.on_proposal(sender, body)


def view_accept(fleet: Fleet, sender: int, body: list) -> None:
    number, ok, has = body
    if is_seed(fleet, sender):
        fleet.view_manager.on_accept(sender, as_int(number), ok is True, as_int(has))


def view_fetch(fleet: Fleet, sender: int, body: list) -> None:
    if fleet.lease_acceptor is not None:
        fleet.view_manager.on_fetch(sender, as_int(body[0]))


def view_page(fleet: Fleet, sender: int, body: list) -> None:
    number, _, page, of, _ = body
    if fleet.lease_acceptor is not None and fleet.view_manager.is_well_formed(body):
        for value in (number, page, of):
            as_int(value)
        fleet.view_manager.on_page(sender, body)


def slot_request(fleet: Fleet, sender: int, body: list) -> None:
    host, port, wanted, own = body
    fleet.merge(own)
    if fleet.lease_acceptor is None or not isinstance(host, str):
        return
    if not fleet.leader_lease.is_held():
        fleet.exchange.send_leader(sender)
    else:
        fleet.view_manager.request_slot(sender, (host, as_int(port)), as_int(wanted))


def slot_refused(fleet: Fleet, sender: int, body: list) -> None:
    if isinstance(body[0], str) and body[0] != fleet.refusal_reason:
        fleet.refusal_reason = body[0]
        fleet.log_event("warning", "seat_refused", why=body[0])


def slot_release(fleet: Fleet, sender: int, body: list) -> None:
    if fleet.lease_acceptor is not None:
        fleet.view_manager.release_slot(sender)


def slot_released(fleet: Fleet, sender: int, body: list) -> None:
    fleet.slot_released()


def app(fleet: Fleet, sender: int, body: list) -> None:
    taker = fleet.app_handlers.get(as_int(body[0]))
    if taker is None:
        fleet.counts["unknown_topics"] += 1
    else:
        taker(sender, body[1:])


HANDLERS: dict[int, Callable[[Any, int, list], None]] = {
    f.JOIN: join, f.JOIN_REPLY: join_reply, f.PROBE: probe, f.PROBE_ACK: probe_ack,
    f.INDIRECT_PROBE: indirect_probe, f.INDIRECT_ACK: indirect_ack, f.INDIRECT_NACK: indirect_nack,
    f.DIGEST: digest, f.VERSIONS: versions, f.SKETCH: sketch, f.ROWS: rows,
    f.PREPARE: prepare, f.PROMISE: promise, f.PROPOSE: propose, f.ACCEPT: accept, f.LEASE_RELEASE: lease_release,
    f.VIEW_PROPOSE: view_propose, f.VIEW_ACCEPT: view_accept, f.VIEW_FETCH: view_fetch, f.VIEW_PAGE: view_page,
    f.SLOT_REQUEST: slot_request, f.SLOT_REFUSED: slot_refused, f.SLOT_RELEASE: slot_release,
    f.SLOT_RELEASED: slot_released, f.APP: app,
}  # fmt: skip
