"""soak.checks: rules that the record of a round must keep."""

from collections import Counter
from collections.abc import Iterator, Sequence

import attrs

from .record import Item, Job, Page, Record, Sample

__all__ = ('Finding', 'IdleItems', 'check_record')

# runners are under half full
IDLE_SHARE = 0.5

# longest step between two samples that counts; a longer one means that this
# process stood still
LONGEST_STEP_S = 0.5


@attrs.frozen
class Finding:
    """A rule that was broken.

    :param check: name of the rule.
    :param job_id: the job that shows it, if one does.
    """

    check: str
    text: str
    job_id: str = ''
    items: tuple[str, ...] = ()


@attrs.define
class IdleItems:
    """Finds jobs with owed items that wait beside idle runners.

    The time counts while all is calm, an entry answers, no runner has an
    unlisted item of the job, and runners are under half full.

    :param limit_s: longest such time.
    """

    limit_s: float
    _waited_s: dict[str, float] = attrs.field(factory=dict)
    _last_s: float = 0

    def add(self, sample: Sample) -> list[Finding]:
        """Add a sample; return the jobs that have now waited too long."""
        step_s = min(sample.at_s - self._last_s, LONGEST_STEP_S)
        self._last_s = sample.at_s
        is_idle = sample.is_calm and sample.busy < IDLE_SHARE
        waiting = set(sample.unlisted) - sample.worked_on if is_idle else set()
        before = self._waited_s
        self._waited_s = {
            job_id: before.get(job_id, 0) + step_s * sample.is_read
            for job_id in waiting
        }
        return [
            Finding(
                'idle',
                f'owed items wait beside idle runners for {self.limit_s} s',
                job_id,
                sample.unlisted[job_id],
            )
            for job_id, waited_s in sorted(self._waited_s.items())
            if waited_s >= self.limit_s
        ]


def check_record(record: Record, keep_s: float) -> list[Finding]:
    """Return what is wrong with the results of a round.

    :param keep_s: time from its acceptance after which an item may be given
        up.
    """
    findings = [
        Finding('process', f'{name} ended without being told')
        for name in record.odd_ends
    ]
    findings += [
        Finding('online', f'a success is not whole: {text}')
        for text in record.odd_streams
    ]
    findings += [
        Finding('customer', text)
        for text in (*record.odd_customers, *record.odd_accesses)
    ]
    findings += [Finding('route', text) for text in record.odd_routes]
    pages = {
        job_id: [page for page in record.pages if page.job_id == job_id]
        for job_id in record.jobs
    }
    for job_id, job in record.jobs.items():
        findings += _check_positions(job, pages[job_id])
        findings += _check_results(
            job,
            pages[job_id],
            record.route_ends.get(job.route, ()),
            keep_s,
        )
    findings += [
        Finding('missing', 'items are not listed at the end', job_id, items)
        for job_id, items in record.unlisted().items()
    ]
    return findings


def _check_positions(job: Job, pages: Sequence[Page]) -> Iterator[Finding]:
    """Check that positions hold one item each, always the same."""
    positions: dict[int, tuple[str, str, str]] = {}
    for page in pages:
        if page.total != len(job.items):
            yield Finding('total', f'total {page.total}', job.job_id)
        for position, line in enumerate(page.results, page.position):
            known = positions.setdefault(position, line)
            if known != line:
                yield Finding(
                    'changed',
                    f'position {position} held {known}, then {line}',
                    job.job_id,
                    (known[0], line[0]),
                )
    counts = Counter(item_id for item_id, _, _ in positions.values())
    for item_id, count in counts.items():
        if count > 1:
            yield Finding(
                'twice', 'an item is at two positions', job.job_id, (item_id,)
            )


def _check_results(
    job: Job, pages: Sequence[Page], route_ends: Sequence[float], keep_s: float
) -> Iterator[Finding]:
    """Check each result that a page listed."""
    items = {item.item_id: item for item in job.items}
    checked: set[tuple[str, str, str]] = set()
    for page in pages:
        may_give_up = page.at_s >= job.accepted_s + keep_s or any(
            end_s <= page.at_s for end_s in route_ends
        )
        for line in page.results:
            if line in checked:
                continue
            checked.add(line)
            fault = _fault_of(items.get(line[0]), line, may_give_up)
            if fault:
                yield Finding('result', fault, job.job_id, (line[0],))


def _fault_of(
    item: Item | None, line: tuple[str, str, str], may_give_up: bool
) -> str:
    """Return what is wrong with a result, nothing if it is right."""
    item_id, state, output = line
    if item is None:
        return f'{item_id} is of no item of the job'
    if state == 'errored':
        return '' if may_give_up else 'errored while it is owed'
    if state != 'completed':
        return f'unknown state {state}'
    if output != item.output:
        return f'completed with {output!r}, whole is {item.output!r}'
    return ''
