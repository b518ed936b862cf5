"""Simulate the platform's store: versions, watches and outages."""

import msgspec

from zinnialead_core.components import store
from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_core import outputs as out
from zinnialead_lab.fleet import const
from zinnialead_lab.fleet import events
from zinnialead_lab.fleet import models
from zinnialead_lab.fleet import network


def send_call(
    fleet: models.Fleet, row: models.EntryRow, output: out.CallStore
) -> None:
    """Send a call to the store and schedule its timeout."""
    fleet.counters[f'store.{type(output.call).__name__}'] += 1
    failed = store.Failed(output.call.name, 'timeout')
    end = events.StoreCallEnds(row.ref, output.call_id, failed)
    network.schedule_at(fleet, output.deadline_ms, end)
    if not network.connected(fleet, row.domain, fleet.store.domain):
        return
    delay_ms = network.latency_ms(fleet, row.domain, fleet.store.domain)
    delay_ms += const.STORE_SERVICE_MS + fleet.store.slow_ms
    arrival = events.StoreCallArrives(row.ref, output)
    network.schedule_after(fleet, delay_ms, arrival)


def serve_call(
    fleet: models.Fleet, ref: ids.EntryRef, output: out.CallStore
) -> None:
    """Execute a call at the store and send its result."""
    if fleet.store.down:
        return
    stored = fleet.objects.get(output.call.name)
    match output.call:
        case store.Watch(name, version) if (
            stored is None or stored.version <= version
        ):
            row = models.WatchRow(ref, output.call_id, name, version)
            fleet.watches[ref, output.call_id] = row
            remaining_ms = output.deadline_ms - fleet.now_ms
            unchanged = store.Unchanged(name)
            end = events.StoreCallEnds(ref, output.call_id, unchanged)
            network.schedule_after(
                fleet, remaining_ms - const.WATCH_MARGIN_MS, end
            )
            return
        case store.Create(name, value):
            result = _write(fleet, name, value, None)
        case store.Update(name, value, version):
            result = _write(fleet, name, value, version)
        case store.Read(name) | store.ReadLatest(name) | store.Watch(name):
            result = _read(fleet, name)
        case store.WriteState(name, state, version):
            value = _encode_state(fleet, state)
            result = _write(fleet, name, value, version)
        case store.ListVms():
            result = store.Listed()
        case store.ReadBindings(name):
            result = _decode_bindings(_read(fleet, name))
        case store.WriteBindings(name, rows, version):
            value = msgspec.json.encode(rows)
            result = _decode_bindings(_write(fleet, name, value, version))
    lost_share = fleet.store.lost_answer_share
    if lost_share and fleet.random.random() < lost_share:
        return
    _reply(fleet, ref, output.call_id, result)


def file_ticket(fleet: models.Fleet, state: tickets.State) -> bool:
    """Write a state as the command line does; False if the store is down."""
    if fleet.store.down:
        return False
    value = _encode_state(fleet, state)
    stored = fleet.objects.get(const.STATE_OBJECT)
    version = stored.version if stored else None
    _write(fleet, const.STATE_OBJECT, value, version)
    return True


def _encode_state(fleet: models.Fleet, state: tickets.State) -> bytes:
    value = f'state {state.number}'.encode()
    fleet.states[value] = state
    return value


def _read(fleet: models.Fleet, name: str) -> store.Result:
    stored = fleet.objects.get(name)
    if stored is None:
        return store.Missing(name)
    return store.Found(name, stored.value, stored.version)


def _decode_bindings(result: store.Result) -> store.Result:
    match result:
        case store.Found(name, value, version):
            rows = msgspec.json.decode(
                value, type=tuple[store.BindingRow, ...]
            )
            return store.FoundBindings(name, rows, version)
        case _:
            return result


def _write(
    fleet: models.Fleet, name: str, value: bytes, version: int | None
) -> store.Result:
    stored = fleet.objects.get(name)
    if (stored.version if stored else None) != version:
        return store.Conflict(name)
    written = models.StoredObject(value, (version or 0) + 1)
    fleet.objects[name] = written
    watch_rows = [row for row in fleet.watches.values() if row.name == name]
    for row in watch_rows:
        del fleet.watches[row.ref, row.call_id]
        _reply(fleet, row.ref, row.call_id, _read(fleet, name))
    return store.Found(name, value, written.version)


def _reply(
    fleet: models.Fleet,
    ref: ids.EntryRef,
    call_id: int,
    result: store.Result,
) -> None:
    row = fleet.entries[ref.entry]
    if not network.connected(fleet, row.domain, fleet.store.domain):
        return
    delay_ms = network.latency_ms(fleet, row.domain, fleet.store.domain)
    end = events.StoreCallEnds(ref, call_id, result)
    network.schedule_after(fleet, delay_ms + fleet.store.slow_ms, end)
