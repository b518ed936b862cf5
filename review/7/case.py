"""Move a route while the store is silent to the machines that watch it."""

import asyncio
import json
import os
import pathlib
import random
import sys
import tempfile
import traceback

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standins2 as s  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
CONFIG_APPLY_S, SHARE, SILENT_S = 2.5, 0.35, 9.0
ROUNDS, ROUND_S = 3, 23.0
PLACES = [('guj-a', 'guj')] * 3 + [('guj-b', 'guj')] * 3 + [('mah-a', 'mah')] * 6
WATCHED = '/objects/config'
RENEWED = (WATCHED, '/objects/servers', '/objects/evacuations')
RECORD = open(HERE / 'record.txt', 'w')
SENT, ANSWERS = {}, {}


def record(event, **fields):
    fields = {'at_s': round(s.now() - START, 3), 'event': event, **fields}
    RECORD.write(json.dumps(fields) + '\n')


async def ask(entry, end):
    """Send a request on the moving route every 0.1 s."""
    client = s.Client(entry.front)
    count = 0
    while s.now() < end:
        count += 1
        name = f'{entry.name}-{count}'
        SENT[name] = (s.now(), entry.name)
        try:
            reply = await client.ask('GET', f'/move/{count}', s.request_headers(name, 3000, count))
            ANSWERS[name] = reply.status
        except (ConnectionError, asyncio.IncompleteReadError, TimeoutError) as error:
            client.close()
            ANSWERS[name] = repr(error)
        await asyncio.sleep(0.1)
    client.close()


def oldest_age(store):
    """Return the age of the oldest open watch that the entries renew often."""
    ages = [s.now() - begun for (_, path), begun in store.watching.items() if path in RENEWED]
    return max(ages, default=9.0)


async def until_renewed(store):
    """Wait for the part of the watches' cycle in which the oldest is youngest.

    Return the machines that watch.
    """
    best, end = 9.0, s.now() + 4.6
    while s.now() < end:
        if len(watchers(store)) >= 4:
            best = min(best, oldest_age(store))
        await asyncio.sleep(0.005)
    end = s.now() + 4.6
    while s.now() < end:
        if len(watchers(store)) >= 4 and oldest_age(store) <= best + 0.05:
            break
        await asyncio.sleep(0.005)
    record('watches', oldest_s=round(oldest_age(store), 2))
    return watchers(store)


def watchers(store):
    return {machine for machine, path in store.watching if path == WATCHED}


async def main(folder):
    global START
    START = s.now()
    store = s.Store()
    endpoints = [s.Endpoint(f'i-{service}{x}', service, 64, zone, 0.02) for service in ('old', 'new') for x, zone in enumerate(('guj-a', 'guj-b', 'mah-a'))]
    for endpoint in endpoints:
        await endpoint.serve()
        store.put('servers', endpoint.name, endpoint.spec())

    def configure(version, service):
        routes = {'r-move': s.route(service, '/move/'), 'r-other': s.route('old', '/other/')}
        store.put('config', 'main', s.configuration(version, routes, ['old', 'new']))

    configure(1, 'old')
    entries = []
    for number, (zone, region) in enumerate(PLACES):
        name = f'edge-{zone}-{number + 1}'
        entries.append(s.Entry(folder, f'127.0.0.{101 + number}', name, await store.serve(name), zone, region))
    for entry in entries:
        entry.start()
    moves, silences = [], []
    try:
        for entry in entries:
            if not await entry.until_ready(40):
                record('not ready', entry=entry.name)
                return 2
        await asyncio.sleep(10)
        end = s.now() + ROUNDS * ROUND_S
        asking = [asyncio.create_task(ask(entry, end)) for entry in entries]
        for number in range(ROUNDS):
            begun = s.now()
            await asyncio.sleep(random.uniform(1.0, 2.0))
            found = await until_renewed(store)
            if TROUBLE:
                store.silenced = set(sorted(found)[: int(SHARE * len(entries))])
                silences.append((s.now(), s.now() + SILENT_S, set(store.silenced)))
                record('silent to', machines=sorted(store.silenced), watching=sorted(found))
                await asyncio.sleep(0.05)
            service = 'new' if number % 2 == 0 else 'old'
            configure(10 * (number + 1), service)
            moves.append((s.now(), service))
            record('acknowledged', version=10 * (number + 1), service=service)
            if TROUBLE:
                await asyncio.sleep(silences[-1][1] - s.now())
                store.silenced = set()
                record('answers all again')
            await asyncio.sleep(max(0.0, begun + ROUND_S - s.now()))
        await asyncio.gather(*asking)
    finally:
        for entry in entries:
            entry.end()
    runs = {name: (at, endpoint.service) for endpoint in endpoints for at, name, _, _ in endpoint.runs}
    for name, (at, machine) in SENT.items():
        record('request', id=name, sent_s=round(at - START, 3), status=ANSWERS.get(name), run_by=runs.get(name, (0, None))[1])
    stale = []
    for number, (acked, service) in enumerate(moves):
        until = moves[number + 1][0] if number + 1 < len(moves) else end
        late = {}
        for name, (at, machine) in SENT.items():
            # Machines that the store turned away are out of touch until 4 s after it.
            if any(machine in turned and begun <= at <= over + 4.0 for begun, over, turned in silences):
                continue
            if acked + CONFIG_APPLY_S < at < until and name in runs and runs[name][1] != service:
                stale.append(name)
                late[machine] = round(max(late.get(machine, 0.0), at - acked), 2)
        record('late', version=10 * (number + 1), last_old_after_s=late)
        print(f'version {10 * (number + 1)}: old service still used after the bound by {len(late)} machines in touch, last {max(late.values(), default=0)} s after the acknowledgement')
    good = sum(x == 200 for x in ANSWERS.values())
    record('result', stale=len(stale), answered_200=good, requests=len(SENT))
    print(f'{len(stale)} requests handled as an older version; {good} of {len(SENT)} answered 200')
    if good < len(SENT) / 2:
        return 2
    return 1 if stale else 0


START = s.now()
code = 2
try:
    with tempfile.TemporaryDirectory() as temporary:
        code = asyncio.run(main(temporary))
except Exception:
    traceback.print_exc()
finally:
    RECORD.close()
    sys.stdout.flush()
os._exit(code)
