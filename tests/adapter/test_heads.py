"""Test the translation of request and response heads."""

import hypothesis
from hypothesis import strategies as st
import pytest

from zinnialead_core.gateway import inputs as inp
from zinnialead_core import notices as core_notices
from zinnialead_core.notices import const
from zinnialead_core import verdict
from zinnialead_platform import heads

REQUEST = [
    (b'Host', b'Jepu9.example'),
    (b'Zinnialead-Request-Id', b'9c41'),
    (b'Cookie', b'a=b; Zinnialead-Affinity-Key=17'),
    (b'Zinnialead-Deadline-Ms', b'1200'),
    (b'Connection', b'keep-alive, X-Hop'),
    (b'X-Hop', b'1'),
    (b'X-Kept', b'2'),
]


def test_a_request_is_read():
    head = heads.read_request('/lepu270/2f?x=1', REQUEST)
    assert (head.name, head.host, head.path) == (
        '9c41',
        'jepu9.example',
        '/lepu270/2f',
    )
    assert (head.object_key, head.deadline_in_ms) == ('17', 1200.0)


def test_hop_by_hop_headers_are_not_forwarded():
    head = heads.read_request('/', REQUEST)
    sent = dict(heads.write_request(head, 'i-7', 900))
    assert b'X-Kept' in sent
    assert b'X-Hop' not in sent
    assert b'Connection' not in sent
    assert sent[b'zinnialead-deadline-ms'] == b'900'
    assert sent[b'zinnialead-expect-instance'] == b'i-7'
    assert sent[b'Zinnialead-Request-Id'] == b'9c41'


@pytest.mark.parametrize('name', [b'Host', b'Zinnialead-Request-Id'])
def test_a_caller_can_not_take_a_header_that_upstreams_need(name):
    """A request without Host could not be sent, and ended the process."""
    listed = (b'Connection', b'close, %s ,X-Kept' % name.lower())
    head = heads.read_request('/', [listed, *REQUEST])
    sent = dict(heads.write_request(head, 'i-7', 900))
    assert sent[name] == dict(REQUEST)[name]
    assert b'X-Kept' not in sent


@pytest.mark.parametrize(
    'name',
    [b'Zinnialead-Request-Id', b'Zinnialead-Response-Seal', b'Retry-After'],
)
def test_an_upstream_can_not_take_a_header_that_callers_need(name):
    """A success without its seal is no answer of the upstream's."""
    headers = [(b'Connection', b'x,' + name), (name, b'1')]
    assert heads.read_response(503, headers).headers == [(name, b'1')]


def test_a_malformed_deadline_is_ignored():
    head = heads.read_request(
        '/', [(b'Host', b'a'), (b'Zinnialead-Deadline-Ms', b'soon')]
    )
    assert head.deadline_in_ms is None


def test_a_request_without_a_host_is_refused():
    with pytest.raises(ValueError, match='host'):
        heads.read_request('/', [])


def test_a_response_is_read():
    head = heads.read_response(
        200,
        [
            (b'Zinnialead-Response-Seal', b'3e1b'),
            (b'Zinnialead-Request-Id', b'9c41'),
            (b'Zinnialead-Server-Load', b'3,0,8'),
        ],
    )
    assert head.sealed
    assert head.load == inp.ReportedLoad(3, 0, 8)
    assert not head.not_run


def read_load(value):
    return heads.read_response(200, [(b'Zinnialead-Server-Load', value)])


@pytest.mark.parametrize(
    ('value', 'load', 'unreadable_loads'),
    [
        (b'3,0,8', inp.ReportedLoad(3, 0, 8), 0),
        (b' 3 , 0 ,8,120', inp.ReportedLoad(3, 0, 8, 120), 0),
        (b'3,0,8,120,7,x', inp.ReportedLoad(3, 0, 8, 120), 0),
        (b'3,0,8,', inp.ReportedLoad(3, 0, 8), 1),
        (b'3,0,8,0', inp.ReportedLoad(3, 0, 8), 1),
        (b'3,0,8,slow,9', inp.ReportedLoad(3, 0, 8), 1),
        (b'3,0,8,-5', inp.ReportedLoad(3, 0, 8), 1),
        (b'3,0,8,' + b'9' * 40, inp.ReportedLoad(3, 0, 8), 1),
        (b'3,0', None, 1),
        (b'3,,8,120', None, 1),
        (b'', None, 1),
    ],
)
def test_a_malformed_work_time_costs_no_other_figure_of_the_load(
    value, load, unreadable_loads
):
    head = read_load(value)
    assert head.load == load
    assert head.unreadable_loads == unreadable_loads


@hypothesis.given(st.lists(st.binary(max_size=12), max_size=6).map(b','.join))
def test_any_report_of_a_load_is_read_or_counted(value):
    head = read_load(value)
    if head.load is None:
        assert head.unreadable_loads == 1
    else:
        assert min(head.load[:3]) >= 0
        assert head.load.work_time_percent != 0


def test_a_sealed_response_is_not_misdirected():
    assert heads.read_response(421, []).misdirected
    sealed = heads.read_response(421, [(b'Zinnialead-Response-Seal', b'1')])
    assert not sealed.misdirected


@pytest.mark.parametrize(
    ('refusal_verdict', 'reason', 'status'),
    [
        (verdict.Verdict.NOT_RUN, verdict.Reason.NO_HEADROOM, 503),
        (verdict.Verdict.NOT_RUN, verdict.Reason.DEADLINE_PASSED, 503),
        (verdict.Verdict.NOT_RUN, verdict.Reason.UNKNOWN_SERVICE, 404),
        (verdict.Verdict.MAY_HAVE_RUN, verdict.Reason.DEADLINE_PASSED, 504),
        (verdict.Verdict.MAY_HAVE_RUN, verdict.Reason.UPSTREAM_LOST, 502),
    ],
)
def test_only_requests_that_have_not_run_get_503_or_404(
    refusal_verdict, reason, status
):
    refusal = verdict.Refusal(refusal_verdict, reason, 'why', 300.0)
    head = heads.write_refusal(None, refusal)
    assert head.status == status
    retry_after = dict(head.headers).get(b'Retry-After')
    assert retry_after == (b'0.30' if status == 503 else None)


def test_a_look_up_is_read():
    look_up = heads.read_look_up('/resolve?name=a&region=guj&zone=guj-a')
    assert look_up == ('guj-a', 'guj')
    assert heads.read_look_up('/other') is None


@pytest.mark.parametrize(
    ('headers', 'era'),
    [
        ([(b'Store-Era', b'7')], 7),
        ([], 0),
        ([(b'Store-Era', b'seven')], 0),
        ([(b'Store-Era', b'-7')], 0),
        ([(b'Store-Era', '\u0667'.encode())], 0),
    ],
)
def test_the_stores_era_is_read(headers, era):
    assert heads.read_store_era(headers) == era


@pytest.mark.parametrize(
    ('value', 'notices'),
    [(b'1', (core_notices.Leaves(),)), (b'0', ()), (b'', ()), (b'yes', ())],
)
@pytest.mark.parametrize('status', [200, 421, 500, 503])
def test_an_upstreams_announcement_to_leave_is_read(status, value, notices):
    headers = [(b'server-leaving', value)]
    assert heads.read_response(status, headers).notices == notices


def announced_by(status, *values):
    headers = [(b'Retry-After', value) for value in values]
    return heads.read_response(status, headers).notices


@pytest.mark.parametrize(
    ('values', 'notices'),
    [
        ((b'2',), (core_notices.Pauses(2_000.0),)),
        ((b' 0.25 ',), (core_notices.Pauses(250.0),)),
        ((b'0',), (core_notices.Pauses(0.0),)),
        ((b'1', b'3'), (core_notices.Pauses(3_000.0),)),
        ((b'-1',), (core_notices.UnreadablePause('-1'),)),
        ((b'inf',), (core_notices.UnreadablePause('inf'),)),
        ((b'1e3',), (core_notices.UnreadablePause('1e3'),)),
        ((b'',), (core_notices.UnreadablePause(''),)),
        ((b'9' * 50,), (core_notices.UnreadablePause('9' * 40),)),
        (
            (b'Wed, 21 Oct 2026 07:28:00 GMT', b'1'),
            (
                core_notices.UnreadablePause('Wed, 21 Oct 2026 07:28:00 GMT'),
                core_notices.Pauses(1_000.0),
            ),
        ),
    ],
)
def test_the_pause_that_an_upstream_asks_for_is_read(values, notices):
    assert announced_by(503, *values) == notices


def test_only_a_503_asks_for_a_pause():
    assert announced_by(429, b'2') == announced_by(200, b'2') == ()


@hypothesis.given(st.lists(st.binary(max_size=30), max_size=3))
def test_any_value_of_a_pause_is_a_finite_time_or_unreadable(values):
    for notice in announced_by(503, *values):
        match notice:
            case core_notices.Pauses(pause_ms):
                assert 0.0 <= pause_ms <= 1e15
            case core_notices.UnreadablePause(text):
                assert len(text) <= const.QUOTED_CHARS_MAX
