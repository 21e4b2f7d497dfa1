"""The schedule of faults, drawn from the seed alone."""

import dataclasses
import enum
import random


class InjectionKind(enum.Enum):
    """What is done to the deployment."""

    ENGINE_CRASH = 'engine_crash'
    ENGINE_FREEZE = 'engine_freeze'
    DOMAIN_CRASH = 'domain_crash'
    SERVICE_CRASH = 'service_crash'
    SERVICE_FAILS = 'service_fails'
    SERVICE_LOSES_ANSWERS = 'service_loses_answers'
    SERVICE_FULL = 'service_full'
    LINK_DELAY = 'link_delay'
    LINK_RESET = 'link_reset'
    LINK_SILENCE = 'link_silence'
    LINK_CUT_OUT = 'link_cut_out'
    LINK_CUT_BACK = 'link_cut_back'
    STORE_BUSY = 'store_busy'
    STORE_RESET = 'store_reset'
    STORE_SILENT = 'store_silent'
    STORE_SLOW = 'store_slow'
    STORE_FORGETS = 'store_forgets'
    STORE_LINK_SILENCE = 'store_link_silence'
    INSTANCE_KILL = 'instance_kill'
    INSTANCE_PAUSE = 'instance_pause'
    INSTANCE_STOP = 'instance_stop'
    INSTANCE_RELOAD = 'instance_reload'
    ALL_KILL = 'all_kill'
    CONFIGURATION = 'configuration'
    TARGET_LEAVES = 'target_leaves'
    MOVE_TO_GOOD = 'move_to_good'
    MOVE_TO_BAD = 'move_to_bad'
    LONG_BODIES = 'long_bodies'
    IDLE_CONNECTIONS = 'idle_connections'
    LONG_MANIFEST = 'long_manifest'
    STORE_RESTART = 'store_restart'
    INSTANCE_SIGNALS = 'instance_signals'
    ENGINE_SILENCES = 'engine_silences'
    LIMITS_CHANGE = 'limits_change'
    ROUTES_CHANGE = 'routes_change'
    CHANGE_BESIDE_INSTANCE = 'change_beside_instance'
    CHANGE_BESIDE_STORE = 'change_beside_store'
    CHANGE_BESIDE_CUT = 'change_beside_cut'
    STORE_RESTORE = 'store_restore'
    CHANGE_BESIDE_FLEET = 'change_beside_fleet'


#: Loads that reach the bounds of an instance. They are drawn apart from the
#: faults, so that seeds that failed before keep their faults.
LOAD_KINDS = (
    InjectionKind.LONG_BODIES,
    InjectionKind.IDLE_CONNECTIONS,
    InjectionKind.LONG_MANIFEST,
    InjectionKind.STORE_RESTART,
)

#: Signals in quick succession, and healthy engines that freeze for a short
#: time. They are drawn apart from faults and loads.
SIGNAL_KINDS = (
    InjectionKind.INSTANCE_SIGNALS,
    InjectionKind.ENGINE_SILENCES,
)

#: Changes of the configuration, alone or beside something else, while callers
#: keep their connections. They are drawn apart from all others.
CHANGE_KINDS = (
    InjectionKind.LIMITS_CHANGE,
    InjectionKind.ROUTES_CHANGE,
    InjectionKind.CHANGE_BESIDE_INSTANCE,
    InjectionKind.CHANGE_BESIDE_STORE,
    InjectionKind.CHANGE_BESIDE_CUT,
)

#: Restores of the store from a copy. They are drawn apart from all others.
RESTORE_KINDS = (InjectionKind.STORE_RESTORE,)

#: Changes of the configuration while several instances stop and start, and
#: callers keep their connections. They are drawn apart from all others.
FLEET_KINDS = (InjectionKind.CHANGE_BESIDE_FLEET,)

_APART_KINDS = (
    LOAD_KINDS + SIGNAL_KINDS + CHANGE_KINDS + RESTORE_KINDS + FLEET_KINDS
)

FAULT_KINDS = tuple(kind for kind in InjectionKind if kind not in _APART_KINDS)


@dataclasses.dataclass(frozen=True)
class SoakShape:
    """Size and length of a run."""

    #: Processes of the system.
    instance_count: int = 3

    #: Stand-ins of engines and plain services.
    engine_count: int = 6
    service_count: int = 3

    #: Callers at once.
    caller_count: int = 6

    #: Time in which faults are injected.
    length_s: float = 15.0

    #: Mean time between two faults, or None for none.
    gap_s: float | None = 0.8

    #: Mean time between two loads, or None for none.
    load_gap_s: float | None = None

    #: Mean time between two injections of signals, or None for none.
    signal_gap_s: float | None = None

    #: Mean time between two changes of the configuration while callers keep
    #: their connections, or None for none.
    change_gap_s: float | None = None

    #: Callers that keep their connections; without changes there are none.
    kept_caller_count: int = 40

    #: Mean time between two restores of the store, or None for none.
    restore_gap_s: float | None = None

    #: Mean time between two changes beside several instances that stop, or
    #: None for none.
    fleet_gap_s: float | None = None

    @property
    def keeps_connections(self) -> bool:
        """Return whether there are callers that keep their connections."""
        return self.change_gap_s is not None or self.fleet_gap_s is not None


@dataclasses.dataclass(frozen=True)
class Injection:
    """One fault of the schedule."""

    #: Time since the start of the run.
    at_s: float

    #: What is done.
    kind: InjectionKind

    #: Which engine, service, link or instance, modulo their number.
    index: int

    #: How long it lasts.
    for_s: float

    def __str__(self) -> str:
        return (
            f'{self.at_s:6.2f} s  {self.kind.value} #{self.index} '
            f'for {self.for_s:.2f} s'
        )


def draw_schedule(seed: int, shape: SoakShape) -> tuple[Injection, ...]:
    """Return all injections of a seed in the order of their times."""
    series = (
        (random.Random(seed), FAULT_KINDS, shape.gap_s),
        (random.Random(f'{seed}/loads'), LOAD_KINDS, shape.load_gap_s),
        (random.Random(f'{seed}/signals'), SIGNAL_KINDS, shape.signal_gap_s),
        (random.Random(f'{seed}/changes'), CHANGE_KINDS, shape.change_gap_s),
        (
            random.Random(f'{seed}/restores'),
            RESTORE_KINDS,
            shape.restore_gap_s,
        ),
        (random.Random(f'{seed}/fleet'), FLEET_KINDS, shape.fleet_gap_s),
    )
    injections: list[Injection] = []
    for draw, kinds, gap_s in series:
        if gap_s is not None:
            injections += _draw(draw, kinds, gap_s, shape.length_s)
    return tuple(sorted(injections, key=lambda injection: injection.at_s))


def _draw(
    draw: random.Random,
    kinds: tuple[InjectionKind, ...],
    gap_s: float,
    length_s: float,
) -> list[Injection]:
    injections = []
    at_s = draw.uniform(0.2, gap_s)
    while at_s < length_s:
        injections.append(
            Injection(
                at_s,
                draw.choice(kinds),
                draw.randrange(12),
                draw.uniform(0.3, 3.0),
            )
        )
        at_s += draw.expovariate(1 / gap_s)
    return injections


def routes_of(version: int) -> tuple[str, ...]:
    """Return the routes that the manifests up to a version have added."""
    return tuple(f'r{number}' for number in range(2, version + 1))
