"""Load tool: ``python -m skylarktack.emulator.load --addresses IP:PORT``.

Sends generations at a steady rate, resumes those whose connection breaks
off, compares every answer token for token, and prints one JSON line.
"""

import concurrent.futures
import dataclasses
import json
import random
import threading
import time

import fire

from skylarktack import emulator
from skylarktack import state
from skylarktack.emulator.bench import percentile

#: Connections that one generation may take, the first one included.
CONNECTION_COUNT = 8


@dataclasses.dataclass(frozen=True)
class LoadResult:
    """What became of one generation."""

    #: Whether every token arrived once and in order.
    whole: bool

    #: Code of the typed error, or empty.
    error: str

    #: Time to the first token.
    first_token_ms: float

    #: Longest time between two tokens, reconnects included.
    longest_pause_ms: float

    #: Connections used.
    connection_count: int

    #: Tokens received.
    token_count: int


def generate_whole(
    addresses: list[state.Address],
    route: str,
    key: str,
    prompt: str,
    token_count: int,
    request_id: str,
    source: random.Random,
) -> LoadResult:
    """Run one generation to its end as a caller that reconnects does."""
    body: dict[str, object] = {
        'prompt': prompt,
        'max_tokens': token_count,
        'request_id': request_id,
    }
    tokens: list[str] = []
    arrivals_s = [time.monotonic()]
    event_id: str | None = None
    error = ''
    connection_count = 0
    while connection_count < CONNECTION_COUNT:
        connection_count += 1
        answer = emulator.generate(
            source.choice(addresses), route, key, body, event_id
        )
        tokens.extend(answer.tokens)
        arrivals_s.extend(answer.arrivals_s)
        if answer.event_ids:
            event_id = answer.event_ids[-1]
        if answer.end is not None:
            error = ''
            break
        error = 'connection_lost'
        if answer.error is not None:
            error = str(answer.error['code'])
            if error != 'stopping':
                break
    pauses_s = [
        after_s - before_s
        for before_s, after_s in zip(
            arrivals_s[1:], arrivals_s[2:], strict=False
        )
    ]
    first_s = arrivals_s[1] - arrivals_s[0] if len(arrivals_s) > 1 else 0.0
    return LoadResult(
        whole=''.join(tokens) == emulator.expected_text(prompt, token_count),
        error=error,
        first_token_ms=first_s * 1000,
        longest_pause_ms=max(pauses_s, default=0.0) * 1000,
        connection_count=connection_count,
        token_count=len(tokens),
    )


def run(
    addresses: str,
    key: str,
    route: str = 'digest',
    count: int = 100,
    rate_per_s: float = 20.0,
    token_count: int = 100,
    seed: int = 1,
) -> None:
    """Send generations and print a summary.

    :param addresses: callers' addresses of instances, IP:PORT, by comma.
    :param key: key of an organisation.
    :param route: route of generations.
    :param count: number of generations.
    :param rate_per_s: generations started a second.
    :param token_count: tokens of each generation.
    :param seed: seed of prompts and instances.
    """
    targets: list[state.Address] = []
    for part in str(addresses).split(','):
        host, _, port = part.rpartition(':')
        targets.append(state.Address(host, int(port)))
    started_s = time.monotonic()
    waiting = threading.Event()
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        futures: list[concurrent.futures.Future[LoadResult]] = []
        for index in range(count):
            due_s = started_s + index / rate_per_s
            waiting.wait(max(0.0, due_s - time.monotonic()))
            futures.append(
                pool.submit(
                    generate_whole,
                    targets,
                    route,
                    key,
                    f'prompt {seed}-{index}',
                    token_count,
                    f'load-{seed}-{index}-{int(time.time() * 1000)}',
                    random.Random(seed * 1_000_003 + index),
                )
            )
        results = [future.result() for future in futures]
    print(json.dumps(summary(results, time.monotonic() - started_s)))


def summary(
    results: list[LoadResult], elapsed_s: float
) -> dict[str, float | int | dict[str, int]]:
    """Return the figures of a run by name."""
    first_ms = [one.first_token_ms for one in results if one.token_count]
    pauses_ms = [one.longest_pause_ms for one in results]
    errors: dict[str, int] = {}
    for one in results:
        if one.error:
            errors[one.error] = errors.get(one.error, 0) + 1
    wrong = [one for one in results if not one.whole and not one.error]
    return {
        'count': len(results),
        'whole_count': sum(one.whole for one in results),
        'wrong_count': len(wrong),
        'errors': errors,
        'tokens_per_s': sum(one.token_count for one in results) / elapsed_s,
        'first_token_p50_ms': percentile(first_ms, 0.5),
        'first_token_p99_ms': percentile(first_ms, 0.99),
        'longest_pause_p50_ms': percentile(pauses_ms, 0.5),
        'longest_pause_max_ms': max(pauses_ms, default=0.0),
        'reconnected_count': sum(one.connection_count > 1 for one in results),
    }


if __name__ == '__main__':
    fire.Fire(run)
