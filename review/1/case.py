"""A failure domain with both readers of its region loses power.

The operator's change of a route is acknowledged right after it. The entries
of the region's other domain must follow it within 2.5 s.
"""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standins  # noqa: E402

CONFIG_APPLY_S = 2.5
POWER_OFF_S = 5.5
ROUNDS = 4
# The names and zones are those of umusozi-buyback.
ZONES = {
    'kigali-a': 'kigali',
    'huye-a': 'huye',
    'musanze-a': 'musanze',
    'kigali-b': 'kigali',
}
NAMES = {
    'kigali-a': [f'edge-kigali-a-{x}' for x in (1, 2, 3)],
    'kigali-b': [f'edge-kigali-b-{x}' for x in (1, 2, 3)],
    'huye-a': ['edge-huye-a-1'],
    'musanze-a': ['edge-musanze-a-1'],
}
SERVICES = ('pricebook', 'pricebook-next')


async def case(record, place, entries):
    store = standins.Store()
    address = await store.listen()
    service_of = {}
    for service in SERVICES:
        for zone in ZONES:
            ident = f'i-{service}-{zone}'
            endpoint = standins.Endpoint(record, ident, service, zone)
            await endpoint.listen()
            store.put('servers', ident, endpoint.registration())
            service_of[ident] = (service, endpoint)
    put_configuration(store, 7, SERVICES[0])
    entries += standins.make_entries(place, record, NAMES, ZONES, address)
    for entry in entries:
        entry.start()
    await standins.until_ready(entries)
    await asyncio.sleep(8.0)
    broken = 0
    for number in range(1, ROUNDS + 1):
        broken += await play(record, store, entries, service_of, number)
        lost = [x for x in entries if not x.is_running()]
        seeds = [entry.control for entry in entries[:3]]
        for entry in lost:
            entry.restart(ZONES, address, seeds)
        await standins.until_ready(lost)
        await asyncio.sleep(5.0)
    record.add(f'{broken} requests were handled by an older version')
    return standins.BROKEN if broken else standins.HELD


def put_configuration(store, version, service):
    routes = {'r-1': standins.route(service, '/lepu270/')}
    store.put('config', 'main', standins.configuration(version, routes, SERVICES))


async def play(record, store, entries, service_of, number):
    """Cut the power, change the route, and count what is handled as before."""
    cut = [x for x in entries if x.zone == 'kigali-b']
    calm = [x for x in entries if x.zone == 'kigali-a']
    if standins.TROUBLE:
        for entry in cut:
            entry.send_signal(signal.SIGKILL)
    # The store has acknowledged the change when this returns.
    service = SERVICES[number % 2]
    put_configuration(store, 7 + number, service)
    acknowledged_s = record.now()
    record.add(f'version {7 + number} is acknowledged: r-1 to {service}')
    sent = {}

    async def send(entry, step):
        name = f'q-{number}-{entry.name}-{step}'
        cookie = [('Cookie', f'Zinnialead-Affinity-Key={step % 20}')]
        at_s = record.now()
        record.add(f'{name} is sent to {entry.name}')
        answer = await standins.ask(
            entry.front, name, '/lepu270/2f', headers=cookie
        )
        status = answer.status if answer else None
        record.add(f'{name} is answered {status}')
        sent[name] = at_s - acknowledged_s

    tasks = []
    step = 0
    while record.now() - acknowledged_s < POWER_OFF_S:
        for entry in calm:
            tasks.append(asyncio.create_task(send(entry, step)))
        step += 1
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)
    old = {
        name
        for ran_service, endpoint in service_of.values()
        if ran_service != service
        for _, name in endpoint.runs
    }
    late = [x for x in sent if sent[x] > CONFIG_APPLY_S and x in old]
    for name in late:
        record.add(
            f'BROKEN: {name}, sent {sent[name]:.3f} s after the '
            'acknowledgement, was run by the old service'
        )
    last = max((sent[x] for x in sent if x in old), default=0.0)
    record.add(
        f'round {number}: last request run by the old service was sent '
        f'{last:.3f} s after the acknowledgement'
    )
    return len(late)


standins.run(case, HERE)
