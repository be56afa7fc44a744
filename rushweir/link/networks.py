"""Networks that may connect, or that nodes may stand in: an address set, the longest prefix decides.

The set is a radix tree (py-radix, in C); docs/measurements.md has it beside netaddr and a plain list. An IPv4
address that came over an IPv6 socket (RFC 4291, 2.5.5.2) is judged as the IPv4 address that it is.
"""

from __future__ import annotations

from collections.abc import Iterable
from ipaddress import IPv4Network, IPv6Network, ip_address, ip_network

import radix

MOST_NETWORKS = 200_000  # of one set: some 130 bytes each
Network = IPv4Network | IPv6Network


def parse_network(word: object) -> Network:
    """``10.0.0.0/8``, ``2001:db8::/32``, or one address. Raises ValueError; bits beyond the prefix are an error,
    since nobody can say which of the two was meant."""
    try:
        return ip_network(str(word))
    except ValueError as problem:
        raise ValueError(f"a network such as 10.0.0.0/8 or 2001:db8::/32 ({problem})") from None


class AddressSet:
    """Allowed and denied networks. Where no prefix matches an address it is allowed only if nothing is allowed
    by name: a set of exceptions admits the rest, a set of members does not."""

    def __init__(self, allow: Iterable[Network] = (), deny: Iterable[Network] = ()) -> None:
        allow, deny = tuple(allow), tuple(deny)
        if len(allow) + len(deny) > MOST_NETWORKS:
            raise ValueError(f"{MOST_NETWORKS} networks at most")
        if both := set(allow) & set(deny):
            raise ValueError(f"{min(map(str, both))} is both allowed and denied")
        self.size, self.others = len(allow) + len(deny), not allow
        self.tree = radix.Radix()
        for networks, allowed in ((allow, True), (deny, False)):
            for net in networks:
                self.tree.add(str(net)).data["allowed"] = allowed

    def allows(self, address: str) -> bool:
        """Whether an address, as text, is in. What is no address is not."""
        if not self.size:
            return True
        if address.startswith("::ffff:") or "%" in address:
            address = address.partition("%")[0]  # RFC 4007, 11: the zone is this machine's affair
            try:
                mapped = getattr(ip_address(address), "ipv4_mapped", None)
            except ValueError:
                return False
            address = str(mapped) if mapped else address
        try:
            found = self.tree.search_best(address)
        except ValueError:
            return False
        return found.data["allowed"] if found is not None else self.others
