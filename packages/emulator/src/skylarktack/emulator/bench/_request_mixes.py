"""Recorded request mixes: prompts with shared prefixes, as a function of a
seed.
"""

import dataclasses
import random

from skylarktack import state
from skylarktack.emulator.bench import _fake_engines


@dataclasses.dataclass(frozen=True)
class Mix:
    """Shape of the requests of one mix."""

    #: Name in the figures.
    name: str

    #: Histories that prompts share.
    family_count: int

    #: Blocks of a history: smallest and largest.
    family_blocks: tuple[int, int]

    #: Blocks of the part that only one prompt has.
    own_blocks: int

    #: Mean tokens of an answer.
    token_count: int

    #: Requests a second.
    rate_per_s: float

    #: Skew of the families' popularity; 0 means equal.
    skew: float

    #: Whether each prompt extends the last one of its family.
    growing: bool = False


#: Whole order histories; a few dealers send most of the requests.
HISTORIES = Mix('histories', 200, (40, 160), 4, 150, 70.0, 0.9)

#: Transcripts that grow from request to request.
TRANSCRIPTS = Mix('transcripts', 400, (10, 40), 3, 120, 80.0, 0.6, True)

#: Prompts that share nothing.
SINGLES = Mix('singles', 1, (1, 1), 40, 150, 66.0, 0.0)

MIXES = (HISTORIES, TRANSCRIPTS, SINGLES)

#: Length to which a growing transcript is cut.
_GROWTH_LIMIT_BLOCKS = 120


def requests(
    mix: Mix, duration_s: float, seed: int
) -> list[_fake_engines.FakeRequest]:
    """Return the requests of a mix in order of time."""
    source = random.Random(f'{mix.name}-{seed}')
    histories: list[str] = []
    weights: list[float] = []
    for place in range(mix.family_count):
        histories.append(_blocks(source, source.randint(*mix.family_blocks)))
        weights.append(1 / (place + 1) ** mix.skew)
    found: list[_fake_engines.FakeRequest] = []
    now_s = 0.0
    while True:
        now_s += source.expovariate(mix.rate_per_s)
        if now_s > duration_s:
            return found
        family = source.choices(range(mix.family_count), weights)[0]
        prompt = histories[family] + _blocks(source, mix.own_blocks)
        if mix.growing:
            limit = _GROWTH_LIMIT_BLOCKS * state.PREFIX_BLOCK_CHARS
            histories[family] = prompt
            if len(prompt) > limit:
                histories[family] = _blocks(source, mix.family_blocks[0])
        tokens = max(1, round(source.expovariate(1 / mix.token_count)))
        found.append(
            _fake_engines.FakeRequest(
                now_s, state.prefix_hashes(prompt), prompt, tokens
            )
        )


def _blocks(source: random.Random, count: int) -> str:
    size = state.PREFIX_BLOCK_CHARS
    parts: list[str] = []
    for _ in range(count):
        parts.append(f'{source.getrandbits(128):032x}' * (size // 32))
    return ''.join(parts)
