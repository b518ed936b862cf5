"""Encode every kind of message and decode arbitrary bytes."""

import typing

import hypothesis
from hypothesis import strategies as st
import pytest

from daemon.components.peers import peer_strategies
from zinnialead_config.settings import models
from zinnialead_core.components import members
from zinnialead_core.components import slots
from zinnialead_core import ids
from zinnialead_core import messages
from zinnialead_daemon.components.peers import codec

ME = ids.EntryId('e2')
SENDER = ids.EntryRef(ids.EntryId('e1'), 5)
KINDS = typing.get_args(messages.Message)
NOW_MS = 50_000.0
OLD, NEW, OTHER = (
    models.PeerKey(key_id, name * 8)
    for key_id, name in ((1, 'old'), (2, 'new'), (2, 'foreign'))
)

settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=40
)


def frame(message, sequence=1, sent_ms=NOW_MS, key=OLD, recipient=ME):
    keyring = codec.new_keyring((key,))
    envelope = codec.Envelope(SENDER, sequence, sent_ms, message)
    return codec.encode(keyring, recipient, envelope)[4:]


def decode(raw, *keys, keyring=None):
    keyring = keyring or codec.new_keyring(keys or (OLD,))
    return codec.decode(keyring, ME, NOW_MS, raw)


@pytest.mark.parametrize('kind', KINDS, ids=lambda x: x.__name__)
def test_every_message_comes_back_as_it_was(kind):
    @settings
    @hypothesis.given(peer_strategies.values(kind))
    def check(message):
        envelope = codec.Envelope(SENDER, 1, 2.0, message)
        found = codec.decode_body(codec.encode_body(envelope))
        assert found.ok == envelope

    check()


@settings
@hypothesis.given(
    st.sampled_from(KINDS).flatmap(peer_strategies.values),
    st.integers(0, 10_000),
    st.integers(0, 7),
)
def test_a_damaged_frame_is_refused_and_a_damaged_body_survived(
    message, place, bit
):
    whole = frame(message)
    place %= len(whole)
    damaged = bytearray(whole)
    damaged[place] ^= 1 << bit
    assert decode(bytes(damaged)).is_error()
    assert decode(whole[:place]).is_error()
    envelope = codec.Envelope(SENDER, 1, 2.0, message)
    body = bytearray(codec.encode_body(envelope))
    body[place % len(body)] ^= 1 << bit
    codec.decode_body(bytes(body))
    codec.decode_body(bytes(body[: place % len(body)]))


@settings
@hypothesis.given(st.binary(max_size=200))
def test_any_bytes_are_survived(found):
    assert decode(found).is_error()
    codec.decode_body(found)


def test_a_message_of_a_newer_schema_is_an_unknown_kind():
    probe = members.Probe(1, 1, ())
    body = codec.encode_body(codec.Envelope(SENDER, 1, 2.0, probe))
    unknown = bytes([200])
    results = [
        codec.decode_body(body[:index] + unknown + body[index + 1 :])
        for index in range(len(body))
    ]
    errors = [result.error for result in results if result.is_error()]
    assert codec.UnknownKind() in errors


def test_a_value_that_only_a_newer_schema_names_is_malformed():
    row = members.MemberRow(
        *(ids.EntryId('e3'), 7, ids.DomainId('d'), 'e3:1'),
        health=members.Health.SUSPECT,
        heard_ms=0.0,
        state_number=3,
    )
    probe = members.Probe(1, 257, (row,))
    body = codec.encode_body(codec.Envelope(SENDER, 1, 2.0, probe))
    results = []
    for place in range(len(body)):
        for bit in range(8):
            changed = bytearray(body)
            changed[place] ^= 1 << bit
            results.append(codec.decode_body(bytes(changed)))
    details = {
        result.error.detail
        for result in results
        if result.is_error() and isinstance(result.error, codec.Malformed)
    }
    assert 'Member was null.' in details


def test_a_newer_version_of_the_framing_is_unknown():
    raw = bytearray(frame(members.Probe(1, 1, ())))
    raw[0] = 9
    assert decode(bytes(raw)).error == codec.UnknownVersion(9)


def test_keys_rotate_without_a_restart():
    probe = members.Probe(1, 1, ())
    assert decode(frame(probe), NEW, OLD).is_ok()
    assert decode(frame(probe, key=NEW), OLD, NEW).is_ok()
    assert decode(frame(probe, key=OTHER), NEW, OLD).error == (
        codec.InvalidSignature()
    )


def test_a_frame_for_another_entry_has_an_invalid_signature():
    raw = frame(members.Probe(1, 1, ()), recipient='e3')
    assert decode(raw).error == codec.InvalidSignature()


@settings
@hypothesis.given(st.lists(st.integers(1, 3000), max_size=30))
def test_no_frame_is_taken_twice(sequences):
    keyring = codec.new_keyring((OLD,))
    taken = set()
    for sequence in sequences:
        found = frame(members.Probe(1, 1, ()), sequence)
        if decode(found, keyring=keyring).is_ok():
            assert sequence not in taken
            taken.add(sequence)
    assert max(sequences, default=0) == max(taken, default=0)


def test_an_old_frame_and_an_older_run_are_replays():
    keyring = codec.new_keyring((OLD,))
    probe = members.Probe(1, 1, ())
    old = frame(probe, sent_ms=NOW_MS - 60_000.0)
    assert decode(old, keyring=keyring).error == codec.Replayed()
    newer = codec.Envelope(SENDER._replace(incarnation=6), 1, NOW_MS, probe)
    raw = codec.encode(keyring, ME, newer)[4:]
    assert decode(raw, keyring=keyring).is_ok()
    assert decode(frame(probe, 9), keyring=keyring).error == codec.Replayed()


def test_none_is_read_back_as_none():
    ask_id = ids.AskId(SENDER, ids.RequestId(1), 2)
    for message in (
        slots.SlotAnswer(ask_id, None),
        slots.SlotReturn(ask_id, None),
    ):
        assert decode(frame(message)).ok.message == message
