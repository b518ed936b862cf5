"""Read any answer of the store without an unexpected exception."""

import hypothesis
from hypothesis import strategies as st
import msgspec

from zinnialead_core.components import store
from zinnialead_daemon.components.store import documents
from zinnialead_daemon.components.store import models

CALLS = (
    store.Read('x'),
    store.Watch('x', 3),
    store.Create('x', b'1'),
    store.Update('x', b'1', 3),
    store.ListVms(),
)
SOUND = b'{"metadata":{"name":"x","rev":4},"spec":{"n":[1]}}'
settings = hypothesis.settings(derandomize=True, deadline=None)


@settings
@hypothesis.given(
    st.sampled_from(CALLS),
    st.sampled_from([200, 201, 204, 302, 404, 409, 410, 429, 500, 503]),
    st.one_of(
        st.binary(max_size=40),
        st.integers(0, len(SOUND)).map(lambda n: SOUND[:n]),
        st.integers(0, len(SOUND)).map(lambda n: SOUND[:n] + b'}' + SOUND[n:]),
    ),
)
def test_an_answer_is_a_result_or_malformed(call, status, body):
    answer = models.Answer(status, body, 1.0)
    try:
        found = documents.result(call, answer)
        if isinstance(found, store.Listed):
            list(documents.listed(body))
    except (msgspec.MsgspecError, ValueError):
        return
    assert found.name == call.name
    if isinstance(found, store.Found):
        assert status in (200, 201)
        assert (found.value, found.version) == (b'{"n":[1]}', 4)


def test_a_failed_update_tells_whether_it_may_have_been_written():
    update = CALLS[3]
    results = {
        status: documents.result(update, models.Answer(status, b'', 2.0))
        for status in (404, 409, 429, 500, 503)
    }
    assert results == {
        404: store.Missing('x'),
        409: store.Conflict('x'),
        429: store.Refused('x', 2_000.0),
        500: store.Failed('x', 'status 500'),
        503: store.Refused('x', 2_000.0),
    }
