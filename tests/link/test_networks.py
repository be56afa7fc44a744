"""Address sets: the longest prefix decides, and results agree with a linear search."""

from __future__ import annotations

from ipaddress import ip_address, ip_network

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rushweir.link.networks import AddressSet, parse_network


def parse_networks(*texts):
    return [parse_network(text) for text in texts]


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
def test_longest_matching_prefix_decides(allow, deny, address, allowed):
    assert AddressSet(parse_networks(*allow), parse_networks(*deny)).allows(address) is allowed


def test_network_that_is_both_allowed_and_denied_is_rejected():
    with pytest.raises(ValueError, match="10.0.0.0/8 is both"):
        AddressSet(parse_networks("10.0.0.0/8"), parse_networks("10.0.0.0/8"))


networks = st.lists(st.tuples(st.integers(0, 2**12 - 1), st.integers(4, 32)), max_size=20, unique=True)


@given(networks, networks, st.integers(0, 2**32 - 1))
def test_result_agrees_with_a_linear_search(allow, deny, address):
    def make_network(drawn):
        bits = drawn[0] << 20
        return ip_network((bits >> (32 - drawn[1]) << (32 - drawn[1]), drawn[1]))

    allow = {make_network(drawn) for drawn in allow}
    deny = {make_network(drawn) for drawn in deny} - allow
    ip = ip_address(address)
    matches = sorted((network.prefixlen, network in allow) for network in allow | deny if ip in network)
    expected = matches[-1][1] if matches else not allow
    assert AddressSet(allow, deny).allows(str(ip)) is expected
