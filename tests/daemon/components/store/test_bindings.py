"""Write key bindings to the store and read them back."""

import msgspec
import pytest

from zinnialead_core.components import store
from zinnialead_daemon.components.store import documents
from zinnialead_daemon.components.store import models

ROWS = (store.BindingRow('k', 'z1.a.1.b.2.3.k'),)


def new_answer(spec, version=4, status=200):
    body = {'metadata': {'rev': version}, 'spec': spec}
    return models.Answer(status, msgspec.json.encode(body), 0.0)


@pytest.mark.parametrize('version, method', [(None, 'POST'), (3, 'PUT')])
def test_bindings_are_read_back_unchanged(version, method):
    call = store.WriteBindings('keys-1', ROWS, version)
    request = documents.request(call, 1.0)
    assert request.method == method
    written = msgspec.json.decode(request.body)
    read = store.ReadBindings('keys-1')
    for bindings_call in (call, read):
        result = documents.result(bindings_call, new_answer(written['spec']))
        assert result == store.FoundBindings('keys-1', ROWS, 4)


def test_malformed_bindings_are_an_error():
    with pytest.raises(msgspec.MsgspecError):
        documents.result(store.ReadBindings('keys-1'), new_answer([['k']]))


def test_a_409_is_a_conflict():
    call = store.WriteBindings('keys-1', ROWS, 3)
    conflict = documents.result(call, new_answer([], status=409))
    assert conflict == store.Conflict('keys-1')
