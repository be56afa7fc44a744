"""Authenticates clients by bearer credentials (RFC 6750), of which only digests are stored. No I/O.

Partners are stored in numbered slots: a name, an interned plan name, the range of gateways and 32 bytes of digest, so
that 16,000 partners take about 4 MB and a change touches one slot. ``Partner`` records are created on request.
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
ALL_INGRESSES = (0, 0)  # the range of gateways of a partner that may use every ingress


def new_credential() -> str:
    """Returns a new credential of 256 random bits, so that a plain digest of it can't be reversed by search."""
    return secrets.token_urlsafe(32)


def digest(credential: str) -> str:
    """Returns the digest that the settings store in place of a credential."""
    return "sha256:" + sha256(credential.encode()).hexdigest()


class Credentials:
    """All partners and the digests of their credentials. Iteration yields the name and plan of each partner."""

    __slots__ = (
        "overrides", "digests", "gateways", "ingress_count", "free", "digests_by_slot", "names", "plans", "slots",
        "users",
    )  # fmt: skip

    def __init__(self, by_digest: Mapping[str, Partner] | None = None, ingress_count: int = 1) -> None:
        """``ingress_count``: the number of ingresses, for partners that may use all of them."""
        self.ingress_count = ingress_count
        self.overrides: Mapping[str, Partner] = {}  # partners that are temporarily counted differently
        self.slots: dict[str, int] = {}  # by name
        self.names: list[str] = []  # by slot; "" where the slot is free
        self.plans: list[str] = []  # by slot
        self.gateways: list[tuple[int, int]] = []  # by slot: the first gateway, and how many from it on
        self.digests_by_slot: list[bytes] = []
        self.digests: dict[bytes, int] = {}  # slots by digest
        self.free: list[int] = []  # slots
        self.users: Counter[str] = Counter()  # number of partners of each plan
        for key, partner in (by_digest or {}).items():
            key_digest = bytes.fromhex(key.removeprefix("sha256:"))
            self.put(partner.name, partner.plan, key_digest, (partner.first_gateway, partner.gateway_count))

    def authenticate(self, header: str | None) -> Partner | None:
        """Returns the partner that an Authorization header authenticates, or None.

        The credential is looked up by its digest, and the digest found is compared in constant time. The time of the
        look-up could only reveal the first bytes of a digest, which an attacker can't choose."""
        found = BEARER.match(header or "")
        if found is None:
            return None
        given = sha256(found[1].encode()).digest()
        slot = self.digests.get(given)
        if slot is None or not hmac.compare_digest(self.digests_by_slot[slot], given):
            return None
        return self._partner_in_slot(slot)

    def partner_named(self, name: str) -> Partner | None:
        """Returns the partner of that name, or None."""
        slot = self.slots.get(name)
        return None if slot is None else self._partner_in_slot(slot)

    def _partner_in_slot(self, slot: int) -> Partner:
        if self.overrides and (other := self.overrides.get(self.names[slot])) is not None:
            return other
        first_gateway, gateway_count = self.gateways[slot]
        return Partner(self.names[slot], self.plans[slot], gateway_count or self.ingress_count, first_gateway)

    def put(self, name: str, plan: str, key: bytes, gateways: tuple[int, int]) -> int:
        """Adds or replaces a partner and returns its slot. The digest ``key`` must not belong to another partner."""
        plan = sys.intern(plan)
        gateways = ALL_INGRESSES if gateways == ALL_INGRESSES else gateways  # one shared tuple
        slot = self.slots.get(name)
        if slot is not None:
            self._uncount_plan(self.plans[slot])
            # Otherwise a partner changed in the same update has the digest.
            if self.digests.get(self.digests_by_slot[slot]) == slot:
                del self.digests[self.digests_by_slot[slot]]
            self.plans[slot], self.digests_by_slot[slot], self.gateways[slot] = plan, key, gateways
        elif self.free:
            slot = self.slots[name] = self.free.pop()
            self.names[slot] = name
            self.plans[slot] = plan
            self.digests_by_slot[slot] = key
            self.gateways[slot] = gateways
        else:
            slot = self.slots[name] = len(self.names)
            for column, value in (
                (self.names, name),
                (self.plans, plan),
                (self.digests_by_slot, key),
                (self.gateways, gateways),
            ):
                column.append(value)
        self.digests[key] = slot
        self.users[plan] += 1
        return slot

    def remove(self, name: str) -> int:
        """Removes a partner and returns the slot that it had."""
        slot = self.slots.pop(name)
        if self.digests.get(self.digests_by_slot[slot]) == slot:
            del self.digests[self.digests_by_slot[slot]]
        self._uncount_plan(self.plans[slot])
        self.names[slot] = ""
        self.plans[slot] = ""
        self.digests_by_slot[slot] = b""
        self.gateways[slot] = ALL_INGRESSES
        self.free.append(slot)
        return slot

    def _uncount_plan(self, plan: str) -> None:
        self.users[plan] -= 1
        if not self.users[plan]:
            del self.users[plan]

    def copy(self) -> Credentials:
        """Returns a copy, for large changes that are prepared outside the event loop."""
        other = Credentials(None, self.ingress_count)
        other.overrides = self.overrides
        for attribute in ("slots", "names", "plans", "gateways", "digests_by_slot", "digests", "free", "users"):
            setattr(other, attribute, getattr(self, attribute).copy())
        return other

    def __len__(self) -> int:
        return len(self.slots)

    def __iter__(self) -> Iterator[tuple[str, str]]:
        return ((name, self.plans[slot]) for name, slot in self.slots.items())

    @property
    def by_digest(self) -> dict[str, Partner]:
        """All partners by the text form of their digests."""
        return {
            f"sha256:{self.digests_by_slot[slot].hex()}": self._partner_in_slot(slot) for slot in self.slots.values()
        }
