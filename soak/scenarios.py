"""soak.scenarios: rounds that are played as they are, by name."""

from .plan import RUNNERS, Fault, FaultKind, Plan, PlannedJob, Work, part_of

__all__ = ('SCENARIOS',)

# 1.6 s to the first event, 4.8 s in all
_LONG_WORK = Work(first_s=1.6, gap_s=0.4, events=8)

_ALL_RUNNERS = tuple(range(RUNNERS))


def _jobs(until_s: float, pause_s: float) -> tuple[PlannedJob, ...]:
    """Return jobs of four items."""
    return tuple(
        PlannedJob(number * pause_s, part_of(number), (_LONG_WORK,) * 4)
        for number in range(int(until_s / pause_s))
    )


def _ends_of_all(times: int, pause_s: float) -> Plan:
    """All runners end together again and again."""
    return Plan(
        jobs=_jobs(times * pause_s + 1, 0.75),
        faults=tuple(
            Fault(1 + turn * pause_s, FaultKind.CRASH, _ALL_RUNNERS, 0.6)
            for turn in range(times)
        ),
        entries=1,
    )


#: Name to its round; each has jobs of four items and five first parts.
SCENARIOS = {
    'runners-end-twice': _ends_of_all(2, 2),
    'runners-end-6-times': _ends_of_all(6, 2),
    'runners-end-12-times': _ends_of_all(12, 1.5),
    'low-limit-of-all': Plan(
        jobs=_jobs(8.5, 0.55),
        faults=(Fault(0, FaultKind.LIMIT, _ALL_RUNNERS, 8, 0.5),),
        entries=1,
    ),
}
