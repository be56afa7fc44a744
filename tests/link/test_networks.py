"""Address sets: the longest prefix decides, and they agree with a plain search."""

from __future__ import annotations

from ipaddress import ip_address, ip_network

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rushweir.link.networks import AddressSet, parse_network


def nets(*texts):
    return [parse_network(t) for t in texts]


@pytest.mark.parametrize(
    ("allow", "deny", "address", "allowed"),
    [
        ((), (), "1.2.3.4", True),
        ((), (), "anything", True),
        (("10.0.0.0/8",), (), "10.9.9.9", True),
        (("10.0.0.0/8",), (), "11.0.0.1", False),
        (("10.0.0.0/8",), ("10.1.0.0/16",), "10.1.2.3", False),
        (("10.0.0.0/8", "10.1.2.0/24"), ("10.1.0.0/16",), "10.1.2.3", True),
        ((), ("10.0.0.0/8",), "10.0.0.1", False),
        ((), ("10.0.0.0/8",), "11.0.0.1", True),
        (("10.0.0.0/8",), (), "::ffff:10.0.0.1", True),
        (("fe80::/10",), (), "fe80::1%eth0", True),
        (("2001:db8::/32",), (), "10.0.0.1", False),
        (("10.0.0.0/8",), (), "no address", False),
        (("10.0.0.0/8",), (), "::ffff:nothing", False),
    ],
)
def test_who_is_in(allow, deny, address, allowed):
    assert AddressSet(nets(*allow), nets(*deny)).allows(address) is allowed


def test_one_network_can_not_be_both():
    with pytest.raises(ValueError, match="10.0.0.0/8 is both"):
        AddressSet(nets("10.0.0.0/8"), nets("10.0.0.0/8"))


networks = st.lists(st.tuples(st.integers(0, 2**12 - 1), st.integers(4, 32)), max_size=20, unique=True)


@given(networks, networks, st.integers(0, 2**32 - 1))
def test_agrees_with_a_plain_search(allow, deny, address):
    def net(n):
        bits = n[0] << 20
        return ip_network((bits >> (32 - n[1]) << (32 - n[1]), n[1]))

    allow = {net(n) for n in allow}
    deny = {net(n) for n in deny} - allow
    where = ip_address(address)
    fits = sorted((n.prefixlen, n in allow) for n in allow | deny if where in n)
    expected = fits[-1][1] if fits else not allow
    assert AddressSet(allow, deny).allows(str(where)) is expected
