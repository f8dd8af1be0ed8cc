"""Checks of a soak's record, with records that hold faults."""

import attrs
import pytest

from soak.checks import LONGEST_STEP_S, IdleItems, check_record
from soak.plan import JOBS_ROUTES, Work
from soak.record import Item, Job, Page, Record, Sample

KEEP_S = 600
LIMIT_S = 5

ITEMS = tuple(
    Item(name, Work(first_s=0.1, gap_s=0.1, events=3)) for name in 'abc'
)
JOB = Job('j', JOBS_ROUTES[0], 0, ITEMS)
SOUND = tuple((item.item_id, 'completed', item.output) for item in ITEMS)

IDLE = Sample(
    at_s=0,
    is_calm=True,
    is_read=True,
    busy=0.2,
    worked_on=frozenset(),
    unlisted={'j': ('b',)},
)


def _check(*pages, route_ends=()):
    """Return check and items of each finding on pages of one job."""
    record = Record(jobs={'j': JOB}, route_ends={JOB.route: list(route_ends)})
    for position, lines in pages:
        record.add_page(Page('j', 10, position, len(ITEMS), lines))
    return [
        (finding.check, finding.items)
        for finding in check_record(record, KEEP_S)
    ]


def test_sound_results_have_no_finding():
    assert not _check((0, SOUND[:2]), (2, SOUND[2:]), (0, SOUND))


def test_item_that_is_never_listed_is_found():
    assert _check((0, SOUND[:2])) == [('missing', ('c',))]


def test_request_at_a_service_where_no_route_leads_is_found():
    record = Record(odd_routes=['/jobs/0 at part'])
    (finding,) = check_record(record, KEEP_S)
    assert finding.check == 'route'


def test_item_at_two_positions_is_found():
    assert _check((0, (*SOUND, SOUND[1]))) == [('twice', ('b',))]


def test_cut_output_is_found():
    name, state, output = SOUND[1]
    cut = (name, state, output.rpartition('\n')[0])
    assert _check((0, (SOUND[0], cut, SOUND[2]))) == [('result', ('b',))]


def test_output_with_an_event_of_another_item_is_found():
    mixed = ('b', 'completed', SOUND[0][2])
    assert _check((0, (SOUND[0], mixed, SOUND[2]))) == [('result', ('b',))]


def test_result_that_is_another_one_later_is_found():
    swapped = (SOUND[1], SOUND[0], SOUND[2])
    found = _check((0, SOUND), (0, swapped))
    assert found[:2] == [('changed', ('a', 'b')), ('changed', ('b', 'a'))]


def test_item_of_no_job_is_found():
    strange = ('z', 'completed', 'z.1')
    assert _check((0, (*SOUND[:2], strange))) == [
        ('result', ('z',)),
        ('missing', ('c',)),
    ]


@pytest.mark.parametrize('state', ['errored', 'odd'])
def test_item_that_is_given_up_while_it_is_owed_is_found(state):
    lines = (*SOUND[:2], ('c', state, ''))
    assert _check((0, lines)) == [('result', ('c',))]


def test_item_may_be_given_up_after_its_route_has_ended():
    lines = (*SOUND[:2], ('c', 'errored', ''))
    assert not _check((0, lines), route_ends=[9.5])
    assert _check((0, lines), route_ends=[10.5]) == [('result', ('c',))]


def test_wrong_total_is_found():
    record = Record(jobs={'j': JOB})
    record.add_page(Page('j', 10, 0, 4, SOUND))
    assert [one.check for one in check_record(record, KEEP_S)] == ['total']


def test_process_that_ended_without_being_told_is_found():
    record = Record(odd_ends=['batch-4'])
    assert [one.check for one in check_record(record, KEEP_S)] == ['process']


def _watch(samples):
    """Return the jobs that are found to wait, by sample."""
    idle = IdleItems(LIMIT_S)
    return [[found.job_id for found in idle.add(one)] for one in samples]


def _samples(seconds, step_s=0.5, **changes):
    count = int(seconds / step_s) + 1
    return [
        attrs.evolve(IDLE, at_s=number * step_s, **changes)
        for number in range(count)
    ]


def test_items_that_wait_beside_idle_runners_are_found():
    found = _watch(_samples(LIMIT_S))
    assert found[-1] == ['j']
    assert not any(found[:-1])


@pytest.mark.parametrize(
    'changes',
    [
        {'is_calm': False},
        {'is_read': False},
        {'busy': 0.5},
        {'worked_on': frozenset('j')},
        {'unlisted': {}},
    ],
    ids=lambda changes: next(iter(changes)),
)
def test_items_do_not_wait_in_vain_otherwise(changes):
    assert not any(_watch(_samples(10 * LIMIT_S, **changes)))


def test_wait_begins_anew_after_a_run():
    before = _samples(LIMIT_S - 0.5)
    later = [
        attrs.evolve(one, at_s=one.at_s + LIMIT_S) for one in _samples(LIMIT_S)
    ]
    running = attrs.evolve(later[0], worked_on=frozenset('j'))
    found = _watch([*before, running, *later[1:]])
    assert found[-1] == ['j']
    assert not any(found[:-1])


def test_time_for_which_the_checker_stood_still_does_not_count():
    found = _watch(_samples(3 * LIMIT_S, step_s=3 * LIMIT_S))
    assert LONGEST_STEP_S < LIMIT_S
    assert not any(found)


@pytest.mark.parametrize(
    ('request_id', 'names', 'credentials', 'is_sound'),
    [
        ('a', [b'north'], [], True),
        ('a', [b'south'], [], False),
        ('a', [], [], False),
        ('a', [b'north', b'forged'], [], False),
        ('a', [b'north'], [b'Bearer key'], False),
        ('b', [], [], True),
        ('b', [b'north'], [], False),
    ],
)
def test_request_that_names_another_customer_or_a_key_is_found(
    request_id, names, credentials, is_sound
):
    record = Record(customers={'a': 'north', 'b': ''})
    record.check_customer(request_id, names, credentials)
    found = [one.check for one in check_record(record, KEEP_S)]
    assert found == ([] if is_sound else ['customer'])


def test_job_that_was_shown_to_another_customer_is_found():
    record = Record(odd_accesses=['h shows j of north to south-key-0'])
    assert [one.check for one in check_record(record, KEEP_S)] == ['customer']
