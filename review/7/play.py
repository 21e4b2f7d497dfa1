"""Replicas leave unannounced just after the store cut waiting watches."""

import random
import threading
import time

import standins
from standins import Replica

DRAIN_S = 2.0

#: What the stand-ins themselves may take until they note a request.
LEEWAY_S = 0.05

#: Requests a second, the sheet's for the service.
RATES = {'ship-book': 28.1, 'stock-peek': 11.2}

#: Departures.
COUNT = 10

#: Longest time from the cut of the watches to the removal of an entry.
AFTER_CUT_S = 0.15


def play(record, with_trouble):
    store = standins.Store()
    routes = [
        standins.route('ship-book', 'non_idempotent', 'desk'),
        standins.route('stock-peek', 'idempotent', 'desk'),
    ]
    store.put('config', 'main', standins.manifest(1, routes))

    def work(replica, handler, attempt):
        replica.record(attempt, handler.path.split('/')[1], 200)
        time.sleep(random.uniform(0.012, 0.033))
        handler.send_date_less(200, replica.signed(attempt), b'done' * 200)

    def start(zone):
        replica = Replica(store, 'desk', zone)
        replica.work = work
        return replica

    replicas = [start(zone) for zone in standins.ZONES]
    everything = list(replicas)
    is_over = threading.Event()
    sent_count = 0

    def consume(fleet, name):
        nonlocal sent_count
        number = 0
        while not is_over.is_set():
            time.sleep(random.expovariate(RATES[name]))
            number += 1
            sent_count += 1
            attempt = f'{name}-{number}'
            instance = random.choice(fleet.instances)
            threading.Thread(
                target=standins.call,
                args=(instance, f'/{name}/x', attempt),
                daemon=True,
            ).start()

    removed_at_s = {}
    with standins.Fleet(store, 7) as fleet:
        time.sleep(4)
        for name in RATES:
            threading.Thread(
                target=consume, args=(fleet, name), daemon=True
            ).start()
        for number in range(COUNT):
            time.sleep(2.2)
            # A new replica is there before the old one leaves.
            new = start(standins.ZONES[number % 4])
            everything.append(new)
            replicas.append(new)
            time.sleep(2.6)
            if with_trouble:
                store.cut_watches()
                record.add('the store cuts the watches that wait')
            time.sleep(AFTER_CUT_S * random.random())
            leaving = replicas.pop(0)
            leaving.is_up = False
            store.remove('servers', leaving.name)
            removed_at_s[leaving.name] = time.monotonic()
            record.add(f'{leaving.name} leaves: its entry is removed')
            # It goes on serving for drain_timeout_ms and a little longer.
            time.sleep(4.0)
            leaving.stop()
        is_over.set()
        time.sleep(1)
    late = []
    for replica in everything:
        removed_s = removed_at_s.get(replica.name)
        if removed_s is None:
            continue
        after = [run for run in replica.runs if run.at_s > removed_s]
        for run in after:
            late_s = run.at_s - removed_s
            record.add(
                f'{run.attempt} reaches {replica.name} {late_s:.3f} s after '
                'its entry was removed',
                run.at_s,
            )
            if late_s > DRAIN_S + LEEWAY_S:
                late.append(late_s)
    record.add(
        f'{sent_count} requests sent; {len(late)} reached a replica later '
        f'than {DRAIN_S + LEEWAY_S} s after its removal, the latest after '
        f'{max(late, default=0):.3f} s'
    )
    return bool(late)


standins.main(play)
