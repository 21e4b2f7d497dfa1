"""Which prompt part explains the loss of engines."""

import dataclasses

import pytest

from skylarktack.coordination.forwarding import _prompt_losses

LIMITS = _prompt_losses.EvidenceLimits()

Loss = _prompt_losses.Loss


def _losses_under(
    *part_ids: str, count: int, first_s: float = 10.0, gap_s: float = 1.0
) -> tuple[_prompt_losses.Loss, ...]:
    """Return losses on distinct engines, one after the other."""
    losses = []
    for number in range(count):
        at_s = first_s + gap_s * number
        losses.append(Loss(f'engine-{at_s}-{number}', part_ids, at_s))
    return tuple(losses)


@dataclasses.dataclass(frozen=True)
class LossCase:
    """Losses, the outputs that are known, and the causes they have."""

    name: str
    losses: tuple[_prompt_losses.Loss, ...]
    causes: tuple[str, ...]
    output_at_s: tuple[tuple[str, float], ...] = ()


CASES = (
    LossCase('too few losses', _losses_under('crashing', count=2), ()),
    LossCase(
        'a part of one run', _losses_under('crashing', count=3), ('crashing',)
    ),
    LossCase(
        'a shared part with earlier output',
        _losses_under('common', 'crashing', count=4),
        ('crashing',),
        (('common', 5.0),),
    ),
    LossCase(
        'a shared part with earlier output and more losses',
        _losses_under('common', 'crashing', count=9),
        ('crashing',),
        (('common', 5.0),),
    ),
    LossCase(
        'equal evidence points to the part that is shared less',
        _losses_under('common', 'crashing', count=3),
        ('crashing',),
    ),
    LossCase(
        'the part that several prompts have in common',
        (
            *_losses_under('common', 'crashing', 'a', count=2),
            *_losses_under('common', 'crashing', 'b', count=2, first_s=20.0),
        ),
        ('crashing',),
        (('common', 5.0),),
    ),
    LossCase(
        'a first part under which engines crash',
        (
            *_losses_under('crashing', 'a', count=3),
            *_losses_under('crashing', 'b', count=3, first_s=20.0),
        ),
        ('crashing',),
    ),
    LossCase(
        'a part that turned bad after its runs produced output',
        _losses_under('crashing', count=5),
        ('crashing',),
        (('crashing', 5.0),),
    ),
    LossCase(
        'output after the losses clears a part',
        _losses_under('popular', count=9),
        (),
        (('popular', 19.5),),
    ),
    LossCase(
        'a failure domain that ends at one moment',
        _losses_under('popular', count=12, gap_s=0.02),
        (),
    ),
    LossCase(
        'a popular bad part that ends an engine every 20 ms',
        _losses_under('crashing', count=60, gap_s=0.02),
        ('crashing',),
    ),
    LossCase(
        'several requests with a bad part that arrive together',
        _losses_under('crashing', count=3, gap_s=0.15),
        ('crashing',),
    ),
    LossCase(
        'many losses on one engine',
        tuple(Loss('engine', ('part',), 10.0 + n) for n in range(6)),
        (),
    ),
    LossCase(
        'runs that were lost with the engines of a bad part',
        (
            *_losses_under('crashing', count=4),
            *_losses_under('unrelated', count=3),
        ),
        ('crashing',),
    ),
    LossCase(
        'two bad parts',
        (
            *_losses_under('crashing', count=4),
            *_losses_under('worse', count=6, first_s=10.5),
        ),
        ('worse', 'crashing'),
    ),
)


class TestFindCauses:
    """The part that the most losses have in common is their cause."""

    @pytest.mark.parametrize('case', CASES, ids=lambda case: case.name)
    def test_causes(self, case: LossCase) -> None:
        """Guards against a sound part that is refused, or a bad one sent."""
        causes = _prompt_losses.find_causes(
            case.losses, dict(case.output_at_s), LIMITS
        )
        assert tuple(cause.part_id for cause in causes) == case.causes
