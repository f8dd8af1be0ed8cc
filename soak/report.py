"""soak.report: says what a round has shown."""

import pathlib
from collections.abc import Iterator, Sequence

from .checks import Finding
from .plan import Plan
from .rounds import Outcome

__all__ = ('describe_failure', 'write_lines')

# log lines that are shown of each batch process
SHOWN_LINES = 4
SHOWN_CHARACTERS = 400

# findings with such lines; the others are named only
FINDINGS_WITH_LINES = 3

# a batch process writes at intervals why items wait
WAITING_LINE = '"items:waiting"'


def write_lines(folder: pathlib.Path, plan: Plan, outcome: Outcome) -> None:
    """Write the plan, the faults as they happened and the findings."""
    lines = [f'plan: {fault}' for fault in plan.faults]
    lines += outcome.lines
    lines += [str(finding) for finding in outcome.findings]
    lines += [str(page) for page in outcome.record.pages]
    lines.append('')
    (folder / 'round.txt').write_text('\n'.join(lines), 'utf-8')


def describe_failure(
    findings: Sequence[Finding], folder: pathlib.Path
) -> Iterator[str]:
    """Yield lines on findings, with what batch processes logged on them."""
    for finding in findings:
        items = ' '.join(finding.items)
        yield f'{finding.check}: {finding.text}: {finding.job_id} {items}'
    for finding in findings[:FINDINGS_WITH_LINES]:
        yield f'last lines on {finding.job_id or "no job"}:'
        for path in sorted(folder.glob('batch-*.log')):
            yield from _last_lines(path, finding)
    yield f'logs: {folder}'


def _last_lines(path: pathlib.Path, finding: Finding) -> Iterator[str]:
    """Yield the last lines of a log that name a job or its items."""
    text = path.read_text('utf-8', errors='replace')
    lines = text.splitlines()
    names = tuple(f'"{name}"' for name in (finding.job_id, *finding.items))
    named = [line for line in lines if any(name in line for name in names)]
    waiting = [line for line in lines if WAITING_LINE in line]
    for line in (*named[-SHOWN_LINES:], *waiting[-1:]):
        yield f'  {path.name}: {line[:SHOWN_CHARACTERS]}'
