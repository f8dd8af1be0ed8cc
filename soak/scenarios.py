"""soak.scenarios: rounds that are played as they are, by name."""

import attrs

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


def _series(
    times: int, pause_s: float, kind: FaultKind = FaultKind.CRASH
) -> Plan:
    """All runners end together again and again."""
    return Plan(
        jobs=_jobs(times * pause_s + 1, 0.75),
        faults=tuple(
            Fault(1 + turn * pause_s, kind, _ALL_RUNNERS, 0.6)
            for turn in range(times)
        ),
        entries=1,
    )


def _series_in_turn(times: int, pause_s: float) -> Plan:
    """One runner after the other ends."""
    plan = _series(times, pause_s)
    return attrs.evolve(
        plan,
        faults=tuple(
            attrs.evolve(fault, targets=(turn % RUNNERS,))
            for turn, fault in enumerate(plan.faults)
        ),
    )


def _with_kills(plan: Plan, times: int, pause_s: float) -> Plan:
    """Batch processes are killed and started in turn meanwhile."""
    kills = tuple(
        Fault(
            1 + turn * pause_s,
            FaultKind.KILL,
            (plan.entries + turn % plan.batches,),
            0.5,
        )
        for turn in range(times)
    )
    return attrs.evolve(plan, faults=plan.faults + kills)


#: Name to its round; each has jobs of four items and five first parts. Items
#: get no event between two ends, unless these are 2.5 s apart or in turn.
SCENARIOS = {
    'runners-end-twice': _series(2, 2),
    'runners-end-6-times': _series(6, 2),
    'runners-end-12-times': _series(12, 1.5),
    'runners-end-under-old-names': _series(12, 1.5, FaultKind.REBORN),
    'runners-end-after-first-events': _series(8, 2.5),
    'runners-end-in-turn': _series_in_turn(30, 0.4),
    'runners-end-beside-kills': _with_kills(_series(12, 1.5), 6, 3),
    'runners-end-beside-requests': attrs.evolve(
        _series(12, 1.5), online_pause_s=0.4
    ),
    'keys-end': Plan(
        jobs=_jobs(8, 0.8),
        faults=(
            Fault(1, FaultKind.REVOKE, lasts_s=2),
            Fault(2, FaultKind.STORE_SILENT, lasts_s=4),
            Fault(4, FaultKind.KILL, (1,), 0.5),
            Fault(7, FaultKind.REVOKE, lasts_s=1),
        ),
        online_pause_s=0.4,
        has_customers=True,
    ),
    'route-splits': Plan(
        jobs=_jobs(12, 0.6),
        faults=tuple(
            Fault(2 + 4 * turn, FaultKind.SPLIT_ROUTE, lasts_s=2)
            for turn in range(3)
        )
        + (Fault(5, FaultKind.KILL, (3,), 0.5),),
        online_pause_s=0.4,
    ),
    'low-limit-of-all': Plan(
        jobs=_jobs(8.5, 0.55),
        faults=(Fault(0, FaultKind.LIMIT, _ALL_RUNNERS, 8, 0.5),),
        entries=1,
    ),
}
