"""Handlers of the messages between members. A malformed body raises, and the core counts it."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from rushweir.fleet import frame
from rushweir.fleet.leader_lease import NOBODY
from rushweir.fleet.members import unpack
from rushweir.fleet.table import MEMBER

if TYPE_CHECKING:
    from rushweir.fleet.core import Fleet


def as_int(value: object) -> int:
    """Returns ``value`` if it is an integer; raises TypeError otherwise."""
    if type(value) is not int:
        raise TypeError("not an integer")
    return value


def join(fleet: Fleet, sender: int, body: list) -> None:
    """A process that knows only this seed. Nothing in the message is trusted: the reply lets it introduce itself."""
    kind, origin, version, data = body[0]
    member = unpack(as_int(origin), as_int(version), data)
    if kind != MEMBER or origin != sender or member is None:
        raise ValueError("a JOIN must describe its sender")
    if fleet.exchange.join_reply_budget.allows(fleet.now):
        fleet.exchange.join_reply_budget.spend(fleet.now)
        fleet.exchange.reply_to_join(sender, member.address)


def join_reply(fleet: Fleet, sender: int, body: list) -> None:
    """A seed answered a JOIN with rows of some members."""
    fleet.merge(body[0])
    if fleet.members.known.get(sender) is not None and not fleet.leaving:
        fleet.send(frame.ROWS, sender, [[fleet.table.row((MEMBER, fleet.me))]])


def probe(fleet: Fleet, sender: int, body: list) -> None:
    """A member probes this one."""
    number, view, _, rows = body
    fleet.merge(rows)
    fleet.exchange.on_view_report(sender, as_int(view))
    if not fleet.left:
        fleet.send(frame.PROBE_ACK, sender, [as_int(number), *fleet.view_report(), fleet.piggyback_rows(sender)])


def probe_ack(fleet: Fleet, sender: int, body: list) -> None:
    """A member answered a probe."""
    number, view, age, rows = body
    fleet.members.on_ack(sender, as_int(number))
    fleet.learn_view_age(sender, number, as_int(view), as_int(age))
    fleet.merge(rows)
    fleet.exchange.on_view_report(sender, view)


def indirect_probe(fleet: Fleet, sender: int, body: list) -> None:
    """A member asks this one to probe a target that did not answer it."""
    number, target = body
    fleet.members.on_indirect_probe(sender, as_int(number), as_int(target))


def indirect_ack(fleet: Fleet, sender: int, body: list) -> None:
    """A helper reached the target of an indirect probe."""
    number, target = body
    fleet.members.on_indirect_ack(as_int(number), as_int(target))


def indirect_nack(fleet: Fleet, sender: int, body: list) -> None:
    """A helper did not reach the target of an indirect probe."""
    number, target = body
    fleet.members.on_indirect_nack(sender, as_int(number), as_int(target))


def digest(fleet: Fleet, sender: int, body: list) -> None:
    """A digest of a member's table."""
    fleet.exchange.on_digest(sender, body[0], body[1] is True)


def versions(fleet: Fleet, sender: int, body: list) -> None:
    """Versions of the entries in a bucket."""
    bucket, is_complete, wants_reply, theirs = body
    fleet.exchange.on_versions(sender, as_int(bucket), is_complete is True, wants_reply is True, theirs)


def sketch(fleet: Fleet, sender: int, body: list) -> None:
    """Short hashes of the entries in some buckets."""
    buckets, hashes, wants_reply = body
    fleet.exchange.on_sketch(sender, buckets, hashes, wants_reply is True)


def rows(fleet: Fleet, sender: int, body: list) -> None:
    """Rows of the table."""
    fleet.merge(body[0])


def prepare(fleet: Fleet, sender: int, body: list) -> None:
    """A seed asks for a promise for the leader lease."""
    if fleet.lease_acceptor is not None and not fleet.leaving:
        answer = fleet.lease_acceptor.prepare(fleet.now, as_int(body[0]))
        if answer is not None:
            fleet.send(
                frame.PROMISE,
                sender,
                [body[0], *answer, fleet.view_manager.stored.number, fleet.lease_acceptor.promised_ballot],
            )


def promise(fleet: Fleet, sender: int, body: list) -> None:
    """A seed answered a PREPARE."""
    ballot, is_promised, holder, view, highest_ballot = body
    if is_seed(fleet, sender):
        fleet.leader_lease.on_promise(
            sender, as_int(ballot), is_promised is True, as_int(holder), as_int(view), as_int(highest_ballot)
        )


def propose(fleet: Fleet, sender: int, body: list) -> None:
    """A seed proposes itself as the holder of the leader lease."""
    if fleet.lease_acceptor is not None and not fleet.leaving:
        is_accepted = fleet.lease_acceptor.propose(fleet.now, as_int(body[0]), sender)
        if is_accepted is not None:
            fleet.send(frame.ACCEPT, sender, [body[0], is_accepted])


def accept(fleet: Fleet, sender: int, body: list) -> None:
    """A seed answered a PROPOSE."""
    ballot, is_accepted = body
    if is_seed(fleet, sender):
        fleet.leader_lease.on_accept(sender, as_int(ballot), is_accepted is True)


def lease_release(fleet: Fleet, sender: int, body: list) -> None:
    """The leader released its lease."""
    if fleet.lease_acceptor is not None:
        fleet.lease_acceptor.release(sender)


def is_seed(fleet: Fleet, sender: int) -> bool:
    """Whether the sender is the process that is alive at a seed's address; only its vote counts as that seed's."""
    return fleet.lease_acceptor is not None and sender != NOBODY and any(m.id == sender for m in fleet.other_seeds())


def view_propose(fleet: Fleet, sender: int, body: list) -> None:
    """A page of a view that the leader proposes."""
    ballot, number, base, hash_, page, page_count, _ = body
    if fleet.lease_acceptor is not None and fleet.view_manager.is_well_formed(body) and isinstance(hash_, bytes):
        for value in (ballot, number, base, page, page_count):
            as_int(value)
        fleet.view_manager.on_proposal(sender, body)


def view_accept(fleet: Fleet, sender: int, body: list) -> None:
    """A seed stored a proposed view, or refused it."""
    number, is_stored, stored_number = body
    if is_seed(fleet, sender):
        fleet.view_manager.on_accept(sender, as_int(number), is_stored is True, as_int(stored_number))


def view_fetch(fleet: Fleet, sender: int, body: list) -> None:
    """A new leader asks for the view that this seed stores."""
    if fleet.lease_acceptor is not None:
        fleet.view_manager.on_fetch(sender, as_int(body[0]))


def view_page(fleet: Fleet, sender: int, body: list) -> None:
    """A page of a view that this seed asked for."""
    number, _, page, page_count, _ = body
    if fleet.lease_acceptor is not None and fleet.view_manager.is_well_formed(body):
        for value in (number, page, page_count):
            as_int(value)
        fleet.view_manager.on_page(sender, body)


def slot_request(fleet: Fleet, sender: int, body: list) -> None:
    """A member asks for a slot."""
    host, port, wanted_slot, own_rows = body
    fleet.merge(own_rows)
    if fleet.lease_acceptor is None or not isinstance(host, str):
        return
    if not fleet.leader_lease.is_held():
        fleet.exchange.send_leader(sender)
    else:
        fleet.view_manager.request_slot(sender, (host, as_int(port)), as_int(wanted_slot))


def slot_refused(fleet: Fleet, sender: int, body: list) -> None:
    """The leader refused a slot, with the reason."""
    if isinstance(body[0], str) and body[0] != fleet.refusal_reason:
        fleet.refusal_reason = body[0]
        fleet.log_event("warning", "seat_refused", why=body[0])


def slot_release(fleet: Fleet, sender: int, body: list) -> None:
    """A member gives its slot back."""
    if fleet.lease_acceptor is not None:
        fleet.view_manager.release_slot(sender)


def slot_released(fleet: Fleet, sender: int, body: list) -> None:
    """The leader confirms that this member's slot was given back."""
    fleet.slot_released()


def app(fleet: Fleet, sender: int, body: list) -> None:
    """A message of a user of the fleet."""
    handler = fleet.app_handlers.get(as_int(body[0]))
    if handler is None:
        fleet.counts["unknown_topics"] += 1
    else:
        handler(sender, body[1:])


HANDLERS: dict[int, Callable[[Any, int, list], None]] = {
    frame.JOIN: join,
    frame.JOIN_REPLY: join_reply,
    frame.PROBE: probe,
    frame.PROBE_ACK: probe_ack,
    frame.INDIRECT_PROBE: indirect_probe,
    frame.INDIRECT_ACK: indirect_ack,
    frame.INDIRECT_NACK: indirect_nack,
    frame.DIGEST: digest,
    frame.VERSIONS: versions,
    frame.SKETCH: sketch,
    frame.ROWS: rows,
    frame.PREPARE: prepare,
    frame.PROMISE: promise,
    frame.PROPOSE: propose,
    frame.ACCEPT: accept,
    frame.LEASE_RELEASE: lease_release,
    frame.VIEW_PROPOSE: view_propose,
    frame.VIEW_ACCEPT: view_accept,
    frame.VIEW_FETCH: view_fetch,
    frame.VIEW_PAGE: view_page,
    frame.SLOT_REQUEST: slot_request,
    frame.SLOT_REFUSED: slot_refused,
    frame.SLOT_RELEASE: slot_release,
    frame.SLOT_RELEASED: slot_released,
    frame.APP: app,
}
