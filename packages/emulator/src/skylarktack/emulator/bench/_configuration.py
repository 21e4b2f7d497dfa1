"""Time until a revision is in effect everywhere, and its store calls."""

from collections.abc import Iterator
import json
import threading
import time

from skylarktack import emulator
from skylarktack import protocol
from skylarktack import transport
from skylarktack.emulator.bench import _figures

#: Entry instances of the deployment.
INSTANCE_COUNT = 9

#: Changes measured for each state of the object API.
CHANGE_COUNT = 20

#: Time over which the calls of an idle fleet are counted.
IDLE_S = 12.0

#: Longest time in effect of the promise.
TARGET_MS = 2000.0

_TOKEN = {'Authorization': f'Bearer {emulator.OPERATOR_TOKEN}'}


def run(seed: int) -> Iterator[_figures.Figure]:
    """Yield the figures of the area ``configuration``."""
    shape = emulator.DeploymentShape(
        instance_count=INSTANCE_COUNT, engine_count=1
    )
    with emulator.Deployment(shape) as deployment:
        yield from _idle_calls(deployment, seed)
        for name, delay_ms, down in (
            ('healthy', 0, False),
            ('slow', 200, False),
            ('down_after', 0, True),
        ):
            deployment.object_api.control(delay_ms=delay_ms)
            times_ms: list[float] = []
            before = _calls(deployment)
            for _ in range(CHANGE_COUNT):
                times_ms.append(_change_ms(deployment, down))
            writes = _calls(deployment).get('write', 0) - before.get(
                'write', 0
            )
            for share, label in ((0.5, 'p50'), (0.99, 'p99')):
                yield _figures.Figure(
                    f'configuration.in_effect_{name}.{label}',
                    _figures.percentile(times_ms, share),
                    'ms',
                    seed,
                    CHANGE_COUNT,
                    TARGET_MS if label == 'p99' else None,
                )
            yield _figures.Figure(
                f'configuration.writes_per_change_{name}',
                writes / CHANGE_COUNT,
                'calls',
                seed,
                CHANGE_COUNT,
            )


def _idle_calls(
    deployment: emulator.Deployment, seed: int
) -> Iterator[_figures.Figure]:
    time.sleep(2.0)
    before = _calls(deployment)
    time.sleep(IDLE_S)
    after = _calls(deployment)
    for kind in ('read', 'write'):
        per_minute = (after.get(kind, 0) - before.get(kind, 0)) / IDLE_S * 60
        yield _figures.Figure(
            f'configuration.idle_{kind}s_per_instance',
            per_minute / INSTANCE_COUNT,
            'calls/min',
            seed,
            1,
        )


def _calls(deployment: emulator.Deployment) -> dict[str, int]:
    counts: dict[str, int] = deployment.object_api.read_json('/control/counts')
    return counts


def _change_ms(deployment: emulator.Deployment, down_after: bool) -> float:
    operator = deployment.instances[0].operator_address
    current = transport.http_call(
        operator, 'GET', '/operator/revision', None, _TOKEN, 10.0
    )
    base = json.loads(current.ok.body)['revision']
    accepted = transport.http_call(
        operator,
        'PUT',
        '/operator/configuration',
        protocol.encode_document(deployment.document).encode(),
        {**_TOKEN, 'If-Match': f'"{base}"'},
        10.0,
    )
    accepted_s = time.time()
    if down_after:
        deployment.object_api.control(down=True)
    revision = json.loads(accepted.ok.body)['revision']
    waiting = threading.Event()
    slowest_s = 0.0
    for _ in range(600):
        statuses = _statuses(deployment)
        done = [one for one in statuses if one['revision'] >= revision]
        if len(done) == INSTANCE_COUNT:
            slowest_s = max(one['revision_since_s'] for one in done)
            break
        waiting.wait(0.02)
    if down_after:
        deployment.object_api.control(down=False)
    if not slowest_s:
        return float('inf')
    return max(0.0, slowest_s - accepted_s) * 1000


def _statuses(deployment: emulator.Deployment) -> list[dict[str, float]]:
    answered = transport.http_call(
        deployment.instances[1].operator_address,
        'GET',
        '/operator/status',
        None,
        _TOKEN,
        10.0,
    )
    statuses: list[dict[str, float]] = json.loads(answered.ok.body)[
        'instances'
    ]
    return statuses
