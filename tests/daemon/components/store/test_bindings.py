"""Carry bindings of keys to the store and back."""

import msgspec
import pytest

from zinnialead_core.components import store
from zinnialead_daemon.components.store import documents
from zinnialead_daemon.components.store import models

ROWS = (store.BindingRow('k', 'z1.a.1.b.2.3.k'),)


def answer(spec, version=4, status=200):
    body = {'metadata': {'rev': version}, 'spec': spec}
    return models.Answer(status, msgspec.json.encode(body), 0.0)


@pytest.mark.parametrize('version, method', [(None, 'POST'), (3, 'PUT')])
def test_bindings_are_written_and_read_as_they_were(version, method):
    call = store.WriteBindings('keys-1', ROWS, version)
    asked = documents.request(call, 1.0)
    assert asked.method == method
    written = msgspec.json.decode(asked.body)
    read = store.ReadBindings('keys-1')
    for done in (call, read):
        found = documents.result(done, answer(written['spec']))
        assert found == store.FoundBindings('keys-1', ROWS, 4)


def test_damaged_bindings_are_an_error():
    with pytest.raises(msgspec.MsgspecError):
        documents.result(store.ReadBindings('keys-1'), answer([['k']]))


def test_a_conflict_wrote_nothing():
    call = store.WriteBindings('keys-1', ROWS, 3)
    conflict = documents.result(call, answer([], status=409))
    assert conflict == store.Conflict('keys-1')
