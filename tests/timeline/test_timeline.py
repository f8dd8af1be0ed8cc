"""Reading, clock correction, selection and page of merged logs."""

import gzip
import json

import pytest

from briarrill.timeline.actions import collect_actions
from briarrill.timeline.html import render_page
from briarrill.timeline.offsets import apply_offsets, estimate_offsets
from briarrill.timeline.reader import read_events
from briarrill.timeline.selection import select_events

ORIGIN = 1_700_000_000.0


def _line(process, at, level, status='', name='request', **fields):
    kind = 'action_type' if status else 'message_type'
    message = {
        'timestamp': ORIGIN + at,
        'process': process,
        'task_uuid': fields.pop('task', 'task-1'),
        'task_level': level,
        kind: name,
        **fields,
    }
    if status:
        message['action_status'] = status
    return json.dumps(message)


def _exchange_logs(task, at, skew):
    """Return the logs of an entry and of a sidecar.

    :param skew: seconds by which the sidecar's clock is ahead.
    """
    entry = [
        _line('entry', at, [1], 'started', task=task),
        _line('entry', at + 0.01, [3], 'succeeded', task=task),
    ]
    sidecar = [
        _line('sidecar', at + 0.001 + skew, [2, 1], 'started', task=task),
        _line('sidecar', at + 0.009 + skew, [2, 2], 'succeeded', task=task),
    ]
    return entry, sidecar


@pytest.fixture
def write_log(tmp_path):
    def write(name, lines):
        path = tmp_path / name
        path.write_text('\n'.join(lines))
        return str(path)

    return write


@pytest.mark.parametrize('skew', [-3.0, -0.02, 0.0, 0.02, 3.0])
def test_skewed_clock_is_corrected_to_causal_order(write_log, skew):
    entry, sidecar = _exchange_logs('task-1', 0.0, skew)
    report = read_events([write_log('a', entry), write_log('b', sidecar)])
    offsets = estimate_offsets(collect_actions(report.events))
    events = apply_offsets(report.events, offsets)
    order = [(event.process, event.status) for event in events]
    assert order == [
        ('entry', 'started'),
        ('sidecar', 'started'),
        ('sidecar', 'succeeded'),
        ('entry', 'succeeded'),
    ]
    assert offsets['sidecar'] - offsets['entry'] == pytest.approx(
        -skew, abs=0.0011
    )


def test_action_without_end_event_has_no_end(write_log):
    entry, sidecar = _exchange_logs('task-1', 0.0, 0.0)
    report = read_events([write_log('a', entry), write_log('b', sidecar[:1])])
    actions = collect_actions(report.events)
    assert actions['task-1', ()].ended is not None
    assert actions['task-1', (2,)].ended is None


def test_truncated_and_foreign_lines_are_skipped_and_counted(write_log):
    entry, _ = _exchange_logs('task-1', 0.0, 0.0)
    lines = [entry[0], 'Traceback (most recent call last):', '[1, 2]', '7']
    report = read_events([write_log('a', [*lines, entry[1][:40]])])
    assert len(report.events) == 1
    assert report.skipped == 4


def test_gzip_log_is_decompressed(tmp_path):
    path = tmp_path / 'entry.log.1.gz'
    path.write_bytes(gzip.compress(_line('entry', 0, [1]).encode()))
    assert len(read_events([str(path)]).events) == 1


def test_selection_by_text_returns_the_whole_task(write_log):
    entry_lines, sidecar_lines = _exchange_logs('task-1', 0.0, 0.0)
    other_task, _ = _exchange_logs('task-2', 1.0, 0.0)
    named = _line('sidecar', 0.002, [2, 3], name='found', index='item-7')
    lines = [*entry_lines, *sidecar_lines, *other_task, named]
    events = read_events([write_log('a', lines)]).events
    selected = select_events(events, 'item-7')
    assert {event.task for event in selected} == {'task-1'}
    assert len(selected) == 5


def test_page_has_all_lanes_and_no_external_resource(write_log):
    entry, sidecar = _exchange_logs('task-1', 0.0, 0.0)
    unsafe = _line('entry', 0.5, [1], name='</script>', task='task-3')
    path = write_log('a', [*entry, *sidecar, unsafe])
    page = render_page(read_events([path]).events)
    embedded = page.split('const timeline = ')[1].split(';\nconst')[0]
    fields = json.loads(embedded)
    assert fields['lanes'] == ['entry', 'sidecar']
    assert [span['status'] for span in fields['spans']] == [
        'succeeded',
        'succeeded',
    ]
    assert [point['name'] for point in fields['points']] == ['</script>']
    assert page.count('</script>') == 1
    assert 'src=' not in page
    assert 'href=' not in page
