"""Parse and validate tickets, and apply them to a state."""

import json
import pathlib
import re

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

import zinnialead_config as config
from zinnialead_config.tickets import coordinator as tickets
from zinnialead_core.components import tickets as core_tickets

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
DEPLOYMENTS = ('sabarmati', 'umusozi')


def example_state(deployment: str) -> core_tickets.State:
    state = core_tickets.empty_state()
    for path in sorted((EXAMPLES / deployment).glob('0*.json')):
        state = config.fold(state, config.load_ticket(path).ok).ok
    return state


def problems_of(text: str) -> dict[str, str]:
    result = tickets.parse(text, 't.json').bind(
        lambda ticket: config.fold(core_tickets.empty_state(), ticket)
    )
    return {problem.path: problem.reason for problem in result.error}


@pytest.mark.parametrize('deployment', DEPLOYMENTS)
def test_the_examples_apply_and_survive_encoding(deployment):
    state = example_state(deployment)
    assert state.number == 2
    assert len(state.upstreams) in (36, 42)
    assert config.decode_state(config.encode_state(state)).ok == state


def test_problems_name_the_field():
    assert '(top)' in problems_of('{"number": 1, ')
    assert 'ranks.r.floor_share' in problems_of(
        '{"number": 1, "operator": "x", "ranks": {"r": {"order": 0,'
        ' "worth": 1, "floor_share": 2, "target_ms": 1}}}'
    )
    assert 'surprise' in problems_of(
        '{"number": 1, "operator": "x", "surprise": {}}'
    )
    problems = problems_of(
        '{"number": 1, "operator": "x", "drains":'
        ' {"d": {"kind": "region", "region": "kigali"}}}'
    )
    assert problems == {'drains.d': "no domain is in region 'kigali'"}


def test_a_ticket_out_of_sequence_is_refused():
    text = '{"number": 3, "operator": "x"}'
    assert 'can not follow ticket 0' in problems_of(text)['number']


def test_null_removes_and_a_place_is_replaced_whole():
    state = example_state('umusozi')
    text = (
        '{"number": 3, "operator": "x", "drains": {"pricebook-1": null},'
        ' "places": {"pricebook/kigali-a": {"upstreams": {"new":'
        ' {"address": "127.0.0.1:9", "slots": 1, "connections_max": 1}}}}}'
    )
    folded = config.fold(state, tickets.parse(text, 't').ok).ok
    assert folded.drains == {}
    upstream_names = [
        row.upstream
        for row in folded.upstreams.values()
        if (row.service, row.domain) == ('pricebook', 'kigali-a')
    ]
    assert upstream_names == ['new']


@hypothesis.settings(derandomize=True, max_examples=200)
@hypothesis.given(st.binary(max_size=200))
def test_no_bytes_raise(raw):
    assert config.decode_state(raw).is_error()


@hypothesis.settings(derandomize=True, max_examples=200)
@hypothesis.given(st.data())
def test_a_cut_ticket_is_refused(data):
    text = (EXAMPLES / 'umusozi' / '0002-drain-upstream.json').read_text()
    cut = data.draw(st.integers(0, text.rindex('}') - 1))
    assert tickets.parse(text[:cut], 't.json').is_error()


PORTS = ['0', '65536', '99999', '9' * 20, '\u0668\u0660', '', '-1']


@pytest.mark.parametrize('port', PORTS)
def test_an_upstream_needs_a_port_in_the_valid_range(port):
    """A send to a port of 20 digits ended the process."""
    text = (EXAMPLES / 'sabarmati' / '0001-deployment.json').read_text()
    state = core_tickets.empty_state()
    assert (
        not tickets.parse(text, 't')
        .bind(lambda ticket: config.fold(state, ticket))
        .is_error()
    )
    pattern = r'("address": "[0-9.]+:)[0-9]+"'
    changed = re.sub(pattern, rf'\g<1>{port}"', text, count=1)
    assert changed != text
    result = tickets.parse(changed, 't').bind(
        lambda ticket: config.fold(state, ticket)
    )
    assert any('address' in x.path for x in result.error)


@pytest.mark.parametrize('field', ['number', 'format', 'history'])
@pytest.mark.parametrize('value', [10**6 + 1, 10**30, 10**400, -1])
def test_a_state_with_a_number_out_of_range_is_damaged(field, value):
    """No message could hold it, so that its entry was taken for dead."""
    document = msgspec.json.decode(
        config.encode_state(example_state('sabarmati'))
    )
    if field == 'history':
        document['history'][0]['number'] = value
    else:
        document[field] = value
    assert config.decode_state(json.dumps(document).encode()).is_error()
