"""The operator adds a route whose latency objective is 0."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from rig_2 import (  # noqa: E402
    BROKEN,
    HELD,
    HOST,
    Rig,
    Target,
    configuration,
    head,
    play,
    read_answer,
    route,
    service,
)

#: Requests on each route, half of them at each daemon.
REQUESTS = 60
#: The rule judges from so many requests on added routes on.
MIN_JUDGED = 20
#: `config_apply_ms`, `stable_ms` and a second more.
SETTLING_S = 6


async def served_share(rig: Rig, name: str) -> float:
    """Send requests on a route and return the share that was served."""
    served = 0
    for number in range(REQUESTS):
        daemon = rig.daemons[number % len(rig.daemons)]
        attempt_id = f'{name}.{number}'
        reader, writer = await asyncio.open_connection(HOST, daemon.ports[0])
        writer.write(head('GET', f'/{name}/{number}', attempt_id))
        answer = await asyncio.wait_for(read_answer(reader), 5)
        writer.close()
        came = 'nothing' if answer is None else answer.status
        rig.record.note('client got', attempt_id, came)
        served += came == 200
    return served / REQUESTS


async def main(rig: Rig) -> int:
    """Play the case."""
    targets = [Target(f'w{number}', 'audit', rig.record) for number in range(3)]
    services = {'audit': service()}
    routes = {'r-first': route('first', 'audit', 'safe')}
    await rig.start(configuration(routes, services), targets, daemons=2)
    objective_ms = 0 if rig.has_trouble else 500
    routes['r-added'] = route(
        'added', 'audit', 'safe', target_latency_ms=objective_ms
    )
    changed = {**configuration(routes, services), 'version': 'r9'}
    rig.store.put('op', 'config', changed)
    rig.record.note('r9 adds a route, target_latency_ms', objective_ms)
    await asyncio.sleep(SETTLING_S)
    first = await served_share(rig, 'first')
    added = await served_share(rig, 'added')
    rig.record.note(
        f'served: {first:.2f} on the first route, {added:.2f} on the added one'
    )
    is_judged = REQUESTS >= MIN_JUDGED and first > 0
    return BROKEN if is_judged and added < first / 4 else HELD


if __name__ == '__main__':
    sys.exit(asyncio.run(play(__file__, main, 90)))
