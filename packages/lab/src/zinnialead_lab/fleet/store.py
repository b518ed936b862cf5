"""Play the platform's store: versions, conditions, watches, outages."""

import msgspec

from zinnialead_core.components import store
from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_core import outputs as out
from zinnialead_lab.fleet import const
from zinnialead_lab.fleet import events
from zinnialead_lab.fleet import models
from zinnialead_lab.fleet import network


def call(
    fleet: models.Fleet, row: models.EntryRow, output: out.CallStore
) -> None:
    """Send a call to the store, and bound the wait for its result."""
    fleet.counters[f'store.{type(output.call).__name__}'] += 1
    failed = store.Failed(output.call.name, 'timeout')
    end = events.StoreCallEnds(row.ref, output.call_id, failed)
    network.at(fleet, output.deadline_ms, end)
    if not network.connected(fleet, row.domain, fleet.store.domain):
        return
    delay_ms = network.latency_ms(fleet, row.domain, fleet.store.domain)
    delay_ms += const.STORE_SERVICE_MS + fleet.store.slow_ms
    arrival = events.StoreCallArrives(row.ref, output)
    network.after(fleet, delay_ms, arrival)


def serve(
    fleet: models.Fleet, ref: ids.EntryRef, output: out.CallStore
) -> None:
    """Carry out a call at the store and send its result."""
    if fleet.store.down:
        return
    found = fleet.objects.get(output.call.name)
    match output.call:
        case store.Watch(name, version) if (
            found is None or found.version <= version
        ):
            row = models.WatchRow(ref, output.call_id, name, version)
            fleet.watches[ref, output.call_id] = row
            left_ms = output.deadline_ms - fleet.now_ms
            quiet = store.Unchanged(name)
            end = events.StoreCallEnds(ref, output.call_id, quiet)
            network.after(fleet, left_ms - const.WATCH_MARGIN_MS, end)
            return
        case store.Create(name, value):
            result = _write(fleet, name, value, None)
        case store.Update(name, value, version):
            result = _write(fleet, name, value, version)
        case store.Read(name) | store.Watch(name):
            result = _result(fleet, name)
        case store.ListVms():
            result = store.Listed()
        case store.ReadBindings(name):
            result = _bindings(_result(fleet, name))
        case store.WriteBindings(name, rows, version):
            value = msgspec.json.encode(rows)
            result = _bindings(_write(fleet, name, value, version))
    lost = fleet.store.lost_answer_share
    if lost and fleet.random.random() < lost:
        return
    _reply(fleet, ref, output.call_id, result)


def file(fleet: models.Fleet, state: tickets.State) -> bool:
    """Put a ticket's state into the store, as the command line would."""
    if fleet.store.down:
        return False
    value = f'state {state.number}'.encode()
    fleet.states[value] = state
    found = fleet.objects.get(const.STATE_OBJECT)
    version = found.version if found else None
    _write(fleet, const.STATE_OBJECT, value, version)
    return True


def _result(fleet: models.Fleet, name: str) -> store.Result:
    found = fleet.objects.get(name)
    if found is None:
        return store.Missing(name)
    return store.Found(name, found.value, found.version)


def _bindings(result: store.Result) -> store.Result:
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
    found = fleet.objects.get(name)
    if (found.version if found else None) != version:
        return store.Conflict(name)
    written = models.Object(value, (version or 0) + 1)
    fleet.objects[name] = written
    waiting = [row for row in fleet.watches.values() if row.name == name]
    for row in waiting:
        del fleet.watches[row.ref, row.call_id]
        _reply(fleet, row.ref, row.call_id, _result(fleet, name))
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
    network.after(fleet, delay_ms + fleet.store.slow_ms, end)
