"""Anti-entropy: how members find each other and compare their tables, by joins, digests, versions and rows. No
I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from rushweir.fleet import frame
from rushweir.fleet.members import ALIVE, SUSPECT
from rushweir.fleet.message_budget import MessageBudget
from rushweir.fleet.settings import COMPARE_INTERVAL_MS, JOIN_INTERVAL_MS
from rushweir.fleet.table import BUCKETS, MEMBER, SHORT_HASH_BYTES, SLOT, VIEW_HEADER, paginate

if TYPE_CHECKING:
    from rushweir.fleet.core import Fleet

# Of rows and of versions in a datagram.
ROWS_BYTES, VERSIONS_BYTES = frame.MAX_BODY_BYTES - 8, frame.MAX_BODY_BYTES - 16
SKETCH_BYTES = frame.MAX_BODY_BYTES - 8  # of short hashes and bucket numbers in a datagram
MAX_BUCKETS_PER_COMPARISON = 2  # buckets whose versions one comparison exchanges
BUSY_COMPARE_INTERVAL_MS = 200.0  # to the next comparison after one that brought new rows
# Of the buckets: if more differ, about as many rows are missing as their versions would take.
SKETCH_THRESHOLD_SHARE = 1 / 4
MAX_ROW_DATAGRAMS = 6  # sent for one digest
VIEW_KINDS = (SLOT, VIEW_HEADER)  # kinds of the entries that make up a view
JOIN_REPLY_MEMBERS = 6  # other members that a reply to a JOIN names
JOIN_SHARE = 0.2  # of the members that send a JOIN to a missing seed in each JOIN_INTERVAL_MS


class Exchange:
    """One member's side of anti-entropy."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self.rng = fleet, fleet.rng
        self.has_new_rows = False  # since the last comparison
        self.newer_view = (0, 0)  # the last member that reported a newer view, and that view's number
        self.join_reply_budget = MessageBudget(fleet.settings.per_s, fleet.now)

    def start(self) -> None:
        """Starts the periodic comparisons and joins."""
        self.fleet.call_after(self.rng.uniform(0, COMPARE_INTERVAL_MS), self._compare, None)
        self.fleet.call_after(0.0, self._join, None)

    def _join(self, _: object) -> None:
        """Sends a JOIN to the seeds that are not known to be alive: at the start and after a long partition."""
        fleet, settings = self.fleet, self.fleet.settings
        lost = [
            seed for seed in settings.seeds if seed != settings.address and fleet.members.present_at(seed) is None
        ]
        few = fleet.members.count() < 2 * len(settings.seeds)
        if not fleet.leaving:
            for address in lost:
                # After a partition all members of a side lack the same seeds: it suffices that some of them try.
                if few or self.rng.random() < JOIN_SHARE:
                    fleet.send_to(address, frame.JOIN, frame.ANY_RECEIVER, [fleet.table.row((MEMBER, fleet.me))])
        fleet.call_after(JOIN_INTERVAL_MS * self.rng.uniform(0.8, 1.2), self._join, None)

    def reply_to_join(self, to: int, address: tuple[str, int] | None = None) -> None:
        """Answers a member that knows nobody with this process and a random sample of others."""
        fleet, known = self.fleet, self.fleet.members.known
        address = known[to].address if address is None and to in known else address
        if address is None:
            return
        others = [(MEMBER, member.id) for member in known.values() if member.state == ALIVE and member.id != fleet.me]
        keys = [(MEMBER, fleet.me), *self.rng.sample(others, min(JOIN_REPLY_MEMBERS, len(others)))]
        fleet.send_to(address, frame.JOIN_REPLY, to, [paginate([fleet.table.row(k) for k in keys], ROWS_BYTES)[0]])

    def _compare(self, _: object) -> None:
        present = self.fleet.members.present()
        if present and self.fleet.may_send() and not self.fleet.leaving:
            self._send_digest(self.rng.choice(present).id, False)
        interval, self.has_new_rows = BUSY_COMPARE_INTERVAL_MS if self.has_new_rows else COMPARE_INTERVAL_MS, False
        self.fleet.call_after(interval * self.rng.uniform(0.8, 1.2), self._compare, None)

    def on_view_report(self, sender: int, view: int) -> None:
        """A member reported the number of the view that it holds."""
        if view > self.fleet.view.number:
            self.newer_view = sender, view

    def request_newer_view(self) -> bool:
        """If a view newer than the one held here was reported, asks for what is missing of it: the member that
        reported it, or the leader that made it. Each report is good for one request, so a false one keeps nobody from
        asking the leader. Returns whether a request was sent."""
        fleet, own_view = self.fleet, self.fleet.view.number
        (source, view_number), self.newer_view = self.newer_view, (0, 0)
        header = fleet.table.get(VIEW_HEADER, 0)
        if view_number <= own_view:
            source = fleet.leader_id() if header is not None and header[0] > own_view else 0
        member = fleet.members.known.get(source)
        if member is None or member.state > SUSPECT or source == fleet.me or fleet.leaving:
            return False
        self._send_digest(source, True)
        return True

    def _send_digest(self, to: int, wants_rows: bool) -> None:
        self.fleet.send(frame.DIGEST, to, [self.fleet.table.digest(), wants_rows])

    def on_digest(self, sender: int, digest: bytes, wants_rows: bool) -> None:
        """A digest of another member came.

        If much differs, short hashes of the entries are sent and each side sends what the other lacks; if little
        does, the versions in one or two buckets are compared first. ``wants_rows``: the other lacks a part of a view
        and sends no rows, so it gets rows of the view, and whole buckets: two datagrams instead of four."""
        fleet, table, sent = self.fleet, self.fleet.table, 0
        buckets = table.differing(digest)
        self.rng.shuffle(buckets)
        if wants_rows:
            self._send_view_rows(sender, buckets)
        if len(buckets) <= SKETCH_THRESHOLD_SHARE * BUCKETS:
            if wants_rows:
                # The buckets with slots first, so that the view arrives first.
                buckets.sort(key=lambda bucket: not any(kind == SLOT for kind, _ in table.keys(bucket)))
            for bucket in buckets[:MAX_BUCKETS_PER_COMPARISON]:
                rows = [table.row(k) for k in table.keys(bucket)]
                if wants_rows and len(paginate(rows, ROWS_BYTES)) == 1:
                    self._send_rows(sender, rows)
                elif fleet.may_send():
                    self.send_versions(sender, bucket, table.versions(bucket), True)
            return
        if not wants_rows:
            if fleet.may_send():
                self._send_sketch(sender, buckets, True)
            return
        for bucket in buckets:
            if sent < MAX_ROW_DATAGRAMS:
                sent += self._send_rows(sender, [table.row(k) for k in table.keys(bucket)])

    def _send_view_rows(self, to: int, buckets: list[int]) -> None:
        """Sends rows of the view from these buckets: those that changed last, and a random page of the others.

        They are answers, and so do not wait for the message budget: a member that lacks one row of a view can't
        confirm its slot, and under loss the budget is used up for as long as the loss lasts."""
        table = self.fleet.table
        rows = [table.row(key) for bucket in buckets for key in table.keys(bucket) if key[0] in VIEW_KINDS]
        rows.sort(key=lambda row: row[2], reverse=True)
        pages = paginate(rows, ROWS_BYTES)
        for page in pages[:1] + self.rng.sample(pages[1:], min(1, len(pages[1:]))):
            self.fleet.send(frame.ROWS, to, [page])

    def _send_sketch(self, to: int, buckets: list[int], wants_reply: bool) -> None:
        """Sends the short hashes of as many buckets as fit; the other sends what is missing from them and, with
        ``wants_reply``, the hashes of its own entries."""
        sent, hashes = [], b""
        for bucket in buckets:
            bucket_hashes = self.fleet.table.bucket_hashes(bucket)
            if 2 * len(sent) + len(hashes) + len(bucket_hashes) + 2 <= SKETCH_BYTES:
                sent.append(bucket)
                hashes += bucket_hashes
        if sent:
            self.fleet.send(frame.SKETCH, to, [sent, hashes, wants_reply])
        elif wants_reply:
            self._send_digest(to, True)  # no bucket fits: ask for whole rows

    def on_sketch(self, sender: int, buckets: Any, hashes: Any, wants_reply: bool) -> None:
        """Short hashes of some buckets of another member came: sends the rows that it lacks. Slots go first, since a
        member recognizes its own slot only by the whole view. Raises TypeError if the message is malformed."""
        if not isinstance(buckets, list) or not isinstance(hashes, bytes):
            raise TypeError("malformed sketch")
        held_hashes = {hashes[k : k + SHORT_HASH_BYTES] for k in range(0, len(hashes), SHORT_HASH_BYTES)}
        buckets = sorted({bucket for bucket in buckets if type(bucket) is int and 0 <= bucket < BUCKETS})
        missing = [key for bucket in buckets for key in self.fleet.table.rows_without_hash(bucket, held_hashes)]
        self.rng.shuffle(missing)
        missing.sort(key=lambda key: key[0] == MEMBER)
        self._send_rows(sender, [self.fleet.table.row(key) for key in missing], MAX_ROW_DATAGRAMS)
        if wants_reply and self.fleet.may_send():
            self._send_sketch(sender, buckets, False)

    def _send_rows(self, to: int, rows: list, max_datagrams: int | None = None) -> int:
        sent = 0
        for page in paginate(rows, ROWS_BYTES)[:max_datagrams]:
            if self.fleet.may_send():
                self.fleet.send(frame.ROWS, to, [page])
                sent += 1
        return sent

    def send_leader(self, to: int) -> None:
        """A member asked this seed for something that only the leader does: sends it who the leader is."""
        fleet = self.fleet
        keys = [(VIEW_HEADER, 0), (MEMBER, fleet.leader_id())]
        rows = [fleet.table.row(k) for k in keys if fleet.table.get(*k) is not None]
        if rows and fleet.may_send():
            fleet.send(frame.ROWS, to, [rows])

    def send_versions(self, to: int, bucket: int, versions: list, wants_reply: bool) -> None:
        """Sends versions of a bucket; with ``wants_reply`` the receiver names what it lacks. Of a large bucket a
        random sample is sent."""
        pages = paginate(versions, VERSIONS_BYTES) or [[]]
        is_complete = len(pages) == 1
        if not is_complete:
            self.rng.shuffle(versions)
            pages = paginate(versions, VERSIONS_BYTES)
        self.fleet.send(frame.VERSIONS, to, [bucket, is_complete and wants_reply, wants_reply, pages[0]])

    def on_versions(self, sender: int, bucket: int, is_complete: bool, wants_reply: bool, theirs: list) -> None:
        """Versions of a bucket came: sends the rows that the sender lacks and asks for those lacking here."""
        missing, wanted = self.fleet.table.missing(bucket, theirs, is_complete)
        self._send_rows(sender, [self.fleet.table.row(k) for k in missing])
        if wanted and wants_reply and self.fleet.may_send():
            own_versions = [
                [k, origin, (self.fleet.table.entries_of(k).get(origin) or (0,))[0]] for k, origin, _ in wanted
            ]
            self.send_versions(sender, bucket, own_versions, False)
