"""Parse arbitrary callers' input."""

import urllib.parse

import hypothesis
from hypothesis import strategies as st
import pytest

from zinnialead_config.settings import models as settings
from zinnialead_daemon.components.front import look_ups
from zinnialead_daemon.components.front import parsing
from zinnialead_daemon.components.front import records

BOUNDS = settings.Bounds()
CONTROL = [
    b'zinnialead-rank',
    b'zinnialead-deadline-ms',
    b'idempotency-key',
    b'idempotency-key-created-ms',
    b'content-length',
    b'connection',
]
PATHS = st.binary().map(lambda rest: b'/v1/services/' + rest)
HEADERS = st.lists(
    st.tuples(st.sampled_from(CONTROL) | st.binary(), st.binary())
)
hypothesis.settings.register_profile('fixed', derandomize=True)
hypothesis.settings.load_profile('fixed')


def scope(path=b'/v1/services/intake/book', headers=(), query=b''):
    return {
        'type': 'http',
        'http_version': '1.1',
        'method': 'POST',
        'raw_path': path,
        'query_string': query,
        'headers': list(headers),
    }


def head(**parts):
    return parsing.request_head(scope(**parts), BOUNDS)


@hypothesis.given(PATHS, HEADERS, st.binary())
def test_any_request_gets_a_head_or_a_4xx(path, headers, query):
    found = head(path=path, headers=headers, query=query)
    if found.is_error():
        assert 400 <= found.error.status < 500
    else:
        assert 0.0 <= found.ok.left_ms < float('inf')


@hypothesis.given(st.binary())
def test_any_look_up_gets_a_question_or_an_error(data):
    look_ups.parse_query(data)
    look_ups.parse_document(data)
    records.decode(data)


@pytest.mark.parametrize(
    ('status', 'parts'),
    [
        (400, {'headers': [(b'zinnialead-deadline-ms', b'nan')]}),
        (400, {'headers': [(b'zinnialead-deadline-ms', b'-5')]}),
        (400, {'headers': [(b'zinnialead-deadline-ms', b'soon')]}),
        (400, {'headers': [(b'idempotency-key', b'a')] * 2}),
        (400, {'headers': [(b'idempotency-key', b'')]}),
        (400, {'headers': [(b'x-name', b'\xff')]}),
        (400, {'path': b'/v1/services/%ff/x'}),
        (400, {'path': b'/v1/services/intake/%ff'}),
        (400, {'query': b'%ff'}),
        (413, {'headers': [(b'content-length', b'9' * 12)]}),
        (414, {'path': b'/v1/services/intake/' + b'x' * 5000}),
        (431, {'headers': [(b'x-a', b'1')] * 101}),
        (431, {'headers': [(b'x-a', b'1' * 20_000)]}),
    ],
)
def test_bad_input_gets_a_clear_status(status, parts):
    assert head(**parts).error.status == status


def test_the_upstream_gets_the_path_unchanged_and_no_hop_by_hop():
    headers = [(b'connection', b'x-a'), (b'x-a', b'1'), (b'accept', b'*/*')]
    request = head(
        path=b'/v1/services/intake/a%20b', query=b'q=1', headers=headers
    ).ok
    assert request.target == b'/a%20b?q=1'
    assert request.headers == [(b'accept', b'*/*')]


def test_a_question_takes_no_unknown_fields():
    assert look_ups.parse_query(b'service=x&zone=y').is_error()
    assert look_ups.parse_query(b'service=x&domain=y').ok.domain == 'y'


@hypothesis.given(st.text(min_size=1, max_size=40))
def test_any_name_survives_its_quoting(name):
    query = urllib.parse.urlencode({'service': name}).encode()
    assert look_ups.parse_query(query).ok.service == name
