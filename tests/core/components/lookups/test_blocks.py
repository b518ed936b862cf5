"""Compare look-ups in the block table with a linear search."""

import ipaddress

import hypothesis
from hypothesis import strategies as st

from zinnialead_core.components.lookups import blocks
from zinnialead_core.components import tickets

BLOCKS = st.tuples(
    st.integers(0, 255), st.integers(24, 32), st.sampled_from('abc')
)


def row(prefix: str, domain: str) -> tickets.BlockRow:
    return tickets.BlockRow(prefix, domain)


@hypothesis.settings(derandomize=True, max_examples=100, database=None)
@hypothesis.given(st.lists(BLOCKS, max_size=12), st.sampled_from([4, 6]))
def test_the_longest_prefix_wins(drawn, version):
    networks = {}
    for low, length, domain in drawn:
        prefix = f'10.0.0.{low}/{length}'
        if version == 6:
            prefix = f'2001:db8:0:{low:x}::/{length + 32}'
        network = ipaddress.ip_network(prefix, strict=False)
        networks[network] = domain
    table = blocks.build(row(str(x), domain) for x, domain in networks.items())
    for low in range(0, 256, 3):
        client = f'10.0.0.{low}' if version == 4 else f'2001:db8:0:{low:x}::1'
        address = ipaddress.ip_address(client)
        matches = [x for x in networks if address in x]
        longest_match = max(matches, key=lambda x: x.prefixlen, default=None)
        assert blocks.find(table, client) == networks.get(longest_match)


def test_a_client_that_is_not_an_address_matches_no_block():
    table = blocks.build([row('0.0.0.0/0', 'a')])
    assert blocks.find(table, '255.255.255.255') == 'a'
    for client in ('', '1.2.3', '1.2.3.4:5', 'x' * 500, '::1'):
        assert blocks.find(table, client) is None
