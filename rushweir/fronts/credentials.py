"""Who a client is: bearer credentials (RFC 6750), kept as digests only. No I/O.

All partners stand in slots: a name, a shared plan name, a shared pair of doors, 32 bytes of digest, so that 16,000 of
them take some 4 MB and one that changes touches its own slot alone. A record of a partner is made for whoever asks.
"""

from __future__ import annotations

import hmac
import re
import secrets
import sys
from collections import Counter
from collections.abc import Iterator, Mapping
from hashlib import sha256

from rushweir.ingress.queries import Partner

# RFC 6750, 2.1: b64token = 1*( ALPHA / DIGIT / "-" / "." / "_" / "~" / "+" / "/" ) *"="
BEARER = re.compile(r"(?i:bearer) +([A-Za-z0-9\-._~+/]{1,512}=*)\s*\Z")
DIGEST = re.compile(r"sha256:([0-9a-f]{64})\Z")
ALL = (0, 0)  # doors: all ingresses


def new_credential() -> str:
    """A fresh credential of 256 random bits: enough that a plain digest of it can't be searched back."""
    return secrets.token_urlsafe(32)


def digest(credential: str) -> str:
    """What the settings hold in place of a credential."""
    return "sha256:" + sha256(credential.encode()).hexdigest()


class Credentials:
    """All partners, and the digests of their credentials. Iterated: name and plan of each."""

    __slots__ = ("acting", "digests", "doors", "everywhere", "free", "kept", "names", "plans", "slots", "users")

    def __init__(self, by_digest: Mapping[str, Partner] | None = None, everywhere: int = 1) -> None:
        """``everywhere``: how many ingresses there are, for partners that may use all."""
        self.everywhere = everywhere
        self.acting: Mapping[str, Partner] = {}  # partners whose requests are counted otherwise for now
        self.slots: dict[str, int] = {}
        self.names: list[str] = []  # by slot; "": free
        self.plans: list[str] = []
        self.doors: list[tuple[int, int]] = []  # the first, and how many from it on; ALL: all
        self.kept: list[bytes] = []
        self.digests: dict[bytes, int] = {}
        self.free: list[int] = []
        self.users: Counter[str] = Counter()  # partners of each plan
        for key, p in (by_digest or {}).items():
            self.put(p.name, p.plan, bytes.fromhex(key.removeprefix("sha256:")), (p.first_gateway, p.gateway_count))

    def partner(self, header: str | None) -> Partner | None:
        """The partner that an Authorization header proves; None where it proves none.

        The credential is looked up by its digest, and the digest found is compared in constant time: what a
        look-up's time could tell is a digest's first bytes, which a guesser can't steer."""
        found = BEARER.match(header or "")
        if found is None:
            return None
        given = sha256(found[1].encode()).digest()
        slot = self.digests.get(given)
        if slot is None or not hmac.compare_digest(self.kept[slot], given):
            return None
        return self._made(slot)

    def named(self, name: str) -> Partner | None:
        slot = self.slots.get(name)
        return None if slot is None else self._made(slot)

    def _made(self, slot: int) -> Partner:
        if self.acting and (other := self.acting.get(self.names[slot])) is not None:
            return other
        first, spread = self.doors[slot]
        return Partner(self.names[slot], self.plans[slot], spread or self.everywhere, first)

    def put(self, name: str, plan: str, key: bytes, doors: tuple[int, int]) -> int:
        """A partner that is new or changed; its slot. The digest must be nobody else's."""
        plan, doors = sys.intern(plan), ALL if doors == ALL else doors
        slot = self.slots.get(name)
        if slot is not None:
            self._left(self.plans[slot])
            if self.digests.get(self.kept[slot]) == slot:  # else another that changed with it has it already
                del self.digests[self.kept[slot]]
            self.plans[slot], self.kept[slot], self.doors[slot] = plan, key, doors
        elif self.free:
            slot = self.slots[name] = self.free.pop()
            self.names[slot], self.plans[slot], self.kept[slot], self.doors[slot] = name, plan, key, doors
        else:
            slot = self.slots[name] = len(self.names)
            for column, value in ((self.names, name), (self.plans, plan), (self.kept, key), (self.doors, doors)):
                column.append(value)
        self.digests[key] = slot
        self.users[plan] += 1
        return slot

    def drop(self, name: str) -> int:
        """A partner that is no more; the slot that it had."""
        slot = self.slots.pop(name)
        if self.digests.get(self.kept[slot]) == slot:
            del self.digests[self.kept[slot]]
        self._left(self.plans[slot])
        self.names[slot], self.plans[slot], self.kept[slot], self.doors[slot] = "", "", b"", ALL
        self.free.append(slot)
        return slot

    def _left(self, plan: str) -> None:
        self.users[plan] -= 1
        if not self.users[plan]:
            del self.users[plan]

    def copy(self) -> Credentials:
        """For changes to many, made beside the loop."""
        other = Credentials(None, self.everywhere)
        other.acting = self.acting
        for part in ("slots", "names", "plans", "doors", "kept", "digests", "free", "users"):
            setattr(other, part, getattr(self, part).copy())
        return other

    def __len__(self) -> int:
        return len(self.slots)

    def __iter__(self) -> Iterator[tuple[str, str]]:
        return ((name, self.plans[slot]) for name, slot in self.slots.items())

    @property
    def by_digest(self) -> dict[str, Partner]:
        """All of them, as a plain table."""
        return {f"sha256:{self.kept[k].hex()}": self._made(k) for k in self.slots.values()}
