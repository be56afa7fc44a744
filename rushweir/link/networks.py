"""Sets of networks from which clients may connect or in which nodes may be: the longest matching prefix decides.

A set is a radix tree (py-radix, in C); docs/measurements.md compares it with netaddr and a plain list. An IPv4-mapped
address of an IPv6 socket (RFC 4291, 2.5.5.2) is matched as the IPv4 address.
"""

from __future__ import annotations

from collections.abc import Iterable
from ipaddress import IPv4Network, IPv6Network, ip_address, ip_network

import radix

MAX_NETWORKS = 200_000  # of one set: some 130 bytes each
Network = IPv4Network | IPv6Network


def parse_network(value: object) -> Network:
    """Parses ``10.0.0.0/8``, ``2001:db8::/32`` or one address. Raises ValueError; bits beyond the prefix are an
    error, since it is unclear whether the bits or the prefix length is wrong."""
    try:
        return ip_network(str(value))
    except ValueError as problem:
        raise ValueError(f"a network such as 10.0.0.0/8 or 2001:db8::/32 ({problem})") from None


class AddressSet:
    """Allowed and denied networks. An address that matches no network is allowed only if the set allows no network
    explicitly: a set of denied networks allows all others, a set with allowed networks does not."""

    def __init__(self, allow: Iterable[Network] = (), deny: Iterable[Network] = ()) -> None:
        allow, deny = tuple(allow), tuple(deny)
        if len(allow) + len(deny) > MAX_NETWORKS:
            raise ValueError(f"at most {MAX_NETWORKS} networks are allowed")
        if both := set(allow) & set(deny):
            raise ValueError(f"{min(map(str, both))} is both allowed and denied")
        self.size, self.allows_others = len(allow) + len(deny), not allow
        self.tree = radix.Radix()
        for networks, allowed in ((allow, True), (deny, False)):
            for network in networks:
                self.tree.add(str(network)).data["allowed"] = allowed

    def allows(self, address: str) -> bool:
        """Returns whether an address, given as text, is allowed. Text that is no address is not allowed."""
        if not self.size:
            return True
        if address.startswith("::ffff:") or "%" in address:
            address = address.partition("%")[0]  # RFC 4007, 11: a zone is local to this machine
            try:
                mapped = getattr(ip_address(address), "ipv4_mapped", None)
            except ValueError:
                return False
            address = str(mapped) if mapped else address
        try:
            match = self.tree.search_best(address)
        except ValueError:
            return False
        return match.data["allowed"] if match is not None else self.allows_others
