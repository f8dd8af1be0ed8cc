"""Tests of the decision which prompt parts are quarantined."""

import itertools
import random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from briarrill.coordination import crash_records, prompt_crashes
from briarrill.coordination.prompt_crashes import PromptQuarantine
from briarrill.protocol.load_reports import (
    LoadReport,
    decode_report,
    encode_report,
    short_hash,
)
from briarrill.protocol.prompt_news import UpstreamCrash

# bounds of the deployments
CONTACT_S = 3.0
MAX_REACHED = 3

# far below the largest datagram
MAX_REPORT_BYTES = 8192

REPORT_PAUSE_S = 0.45

# age of a connection that was open before the crashes
OLD_CONNECTION_S = 30.0

# load of the replay
PROMPT_PAUSE_S = 0.037
BAD_SHARE = 0.074
STORM_OVER_S = 20
MIN_SERVED_SHARE = 0.5


def _hashes(parts):
    return tuple(map(short_hash, parts))


def _crash(incarnation, *prompts):
    """Return a crash with prompts in flight, each a tuple of parts."""
    first = {prompt[0] for prompt in prompts}
    others = {part for prompt in prompts for part in prompt[1:]}
    return UpstreamCrash(
        short_hash(incarnation), _hashes(first), _hashes(others)
    )


@attrs.define
class Fleet:
    """Quarantines of several processes that exchange reports."""

    now: float = 100.0
    names: tuple = ('a', 'b', 'c', 'd')
    processes: dict = attrs.field(factory=dict)
    sequence: int = 0

    def __attrs_post_init__(self):
        for name in self.names:
            self.restart(name)

    def restart(self, name):
        self.processes[name] = PromptQuarantine(lambda: self.now)

    def exchange(self, *cut_off):
        """Send each process's report to all others but those cut off."""
        self.sequence += 1
        for name, process in self.processes.items():
            raw = encode_report(
                LoadReport(
                    name, 'h', 1, self.sequence, prompt_news=process.news()
                )
            )
            assert len(raw) < MAX_REPORT_BYTES
            news = decode_report(raw).prompt_news
            for other in self.processes if news else ():
                if other != name and not {name, other} & set(cut_off):
                    self.processes[other].apply_news(news)

    def pass_time(self, seconds, *cut_off):
        """Let time pass, with reports and decisions."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + REPORT_PAUSE_S)
            self.exchange(*cut_off)
            for process in self.processes.values():
                process.update()

    def refusing(self, *prompt):
        """Return the names of the processes that refuse a prompt."""
        return ''.join(
            name
            for name, process in sorted(self.processes.items())
            if process.time_left_s(prompt)
        )

    def crash(self, observer, incarnation, *prompts):
        self.processes[observer].record_crash(_crash(incarnation, *prompts))

    def answer(self, name, *prompt):
        self.processes[name].record_answer(prompt)


def test_part_with_three_crashes_is_refused_by_all_processes():
    fleet = Fleet()
    for number, observer in enumerate('abc'):
        fleet.crash(observer, f'i{number}', ('first', 'bad'))
        assert not fleet.refusing('first', 'bad')
        fleet.pass_time(0.5)
    fleet.pass_time(1)
    assert fleet.refusing('first', 'bad') == 'abcd'
    assert fleet.refusing('other', 'bad', 'more') == 'abcd'
    assert not fleet.refusing('first', 'other')


def _replay_storm(seed, restart_at=None, cut_off=()):
    """Replay the load: prompts come everywhere, one kind ends upstreams.

    Six upstreams serve 27 prompts a second; an upstream that ended returns
    after 4 s. Two prompts a second have the part at fault.

    :return: prompts with it that were sent later than the bound after the
        fifth crash, and the share of later sound prompts that were served.
    """
    rng = random.Random(seed)
    fleet = Fleet()
    generation = itertools.count()
    upstreams = {number: [0.0, next(generation), []] for number in range(6)}
    crashes, late, sound, served = [], 0, 0, 0
    answers = []
    start = fleet.now
    while fleet.now < start + 40:
        fleet.now += PROMPT_PAUSE_S
        since = fleet.now - start
        for due, name, prompt, slot, number in list(answers):
            if due <= fleet.now:
                answers.remove((due, name, prompt, slot, number))
                if upstreams[slot][1] == number:
                    upstreams[slot][2].remove((name, prompt))
                    fleet.answer(name, *prompt)
        name = rng.choice(sorted(set(fleet.names) - set(cut_off)))
        is_bad = since > 5 and rng.random() < BAD_SHARE
        middle = 'bad' if is_bad else f's{rng.randrange(40)}'
        prompt = (f'first{rng.randrange(2)}', middle)
        up = [slot for slot, state in upstreams.items() if state[0] <= since]
        is_after = len(crashes) >= 5 and since > crashes[4] + CONTACT_S
        is_refused = fleet.processes[name].time_left_s(prompt) > 0
        if since > STORM_OVER_S and not is_bad:
            sound += 1
            served += bool(up) and not is_refused
        if up and not is_refused:
            slot = rng.choice(up)
            state = upstreams[slot]
            if is_bad:
                late += is_after
                crashes.append(since)
                by_name = {name: [prompt]}
                for observer, other in state[2]:
                    by_name.setdefault(observer, []).append(other)
                for observer, prompts in by_name.items():
                    fleet.crash(observer, f'i{state[1]}', *prompts)
                upstreams[slot] = [since + 4, next(generation), []]
            else:
                state[2].append((name, prompt))
                due = fleet.now + rng.uniform(0.3, 1)
                answers.append((due, name, prompt, slot, state[1]))
        if int(since / REPORT_PAUSE_S) != int(
            (since - PROMPT_PAUSE_S) / REPORT_PAUSE_S
        ):
            fleet.exchange(*cut_off)
        for process in fleet.processes.values():
            process.update()
        if restart_at is not None and since >= restart_at:
            fleet.restart('a')
            restart_at = None
    return late, served / max(sound, 1)


@pytest.mark.parametrize('seed', range(20))
def test_replayed_storm_ends_in_time_and_keeps_sound_prompts(seed):
    late, served_share = _replay_storm(seed)
    assert late <= MAX_REACHED
    assert served_share > MIN_SERVED_SHARE


@pytest.mark.parametrize('seed', range(5))
def test_replayed_storm_ends_in_time_though_a_process_restarts(seed):
    late, served_share = _replay_storm(seed, restart_at=12)
    assert late <= MAX_REACHED
    assert served_share > MIN_SERVED_SHARE


def test_five_crashes_at_once_are_known_everywhere_within_the_bound():
    fleet = Fleet()
    for number in range(5):
        fleet.crash('a', f'i{number}', ('first', 'bad'))
    fleet.pass_time(CONTACT_S)
    assert fleet.refusing('first', 'bad') == 'abcd'


def test_part_that_is_answered_anywhere_is_not_refused():
    fleet = Fleet()
    fleet.answer('d', 'first', 'shared')
    for number in range(8):
        fleet.crash('a', f'i{number}', ('first', 'shared'))
        fleet.pass_time(0.4)
    fleet.pass_time(3)
    assert not fleet.refusing('first', 'shared')


def test_later_answer_ends_a_wrong_quarantine_everywhere():
    fleet = Fleet()
    for number in range(3):
        fleet.crash('a', f'i{number}', ('first', 'shared'))
    fleet.pass_time(2)
    assert fleet.refusing('shared', 'own') == 'abcd'
    fleet.answer('b', 'first', 'shared')
    fleet.pass_time(2)
    assert not fleet.refusing('shared', 'own')


def test_old_answer_does_not_clear_a_part_for_ever():
    fleet = Fleet()
    fleet.answer('a', 'first', 'bad')
    fleet.pass_time(prompt_crashes.ANSWER_VALIDITY_S + 1)
    for number in range(3):
        fleet.crash('a', f'i{number}', ('first', 'bad'))
    fleet.pass_time(2)
    assert fleet.refusing('bad') == 'abcd'


def test_first_part_is_kept_while_another_part_explains_the_crashes():
    fleet = Fleet()
    for number in range(9):
        fleet.crash('a', f'i{number}', ('first', 'bad'), ('first', 'x'))
        fleet.pass_time(0.5)
        fleet.answer('a', 'other', 'x')
    fleet.pass_time(2)
    assert fleet.refusing('first', 'bad') == 'abcd'
    assert not fleet.refusing('first', 'sound')
    assert not fleet.refusing('first', 'x')


def test_first_part_at_fault_is_refused_after_five_crashes():
    fleet = Fleet()
    for number in range(5):
        assert not fleet.refusing('bad', 'any')
        fleet.crash('a', f'i{number}', ('bad', f'middle{number}'))
        fleet.pass_time(0.5)
    fleet.pass_time(1)
    assert fleet.refusing('bad', 'any') == 'abcd'
    assert not fleet.refusing('first', 'middle1')


def test_bystanders_of_a_part_at_fault_are_not_refused():
    """The other part was in flight at most, not at all of its crashes."""
    fleet = Fleet()
    for number in range(5):
        others = [('first', 'bystander')] if number else []
        fleet.crash('a', f'i{number}', ('first', 'bad'), *others)
    fleet.pass_time(2)
    assert fleet.refusing('first', 'bad') == 'abcd'
    assert not fleet.refusing('first', 'bystander')


def test_crashes_without_a_common_part_accuse_nobody():
    fleet = Fleet()
    for number in range(40):
        fleet.crash('a', f'i{number}', (f'f{number}', f's{number // 2}'))
        fleet.pass_time(0.2)
    for number in range(40):
        assert not fleet.refusing(f'f{number}', f's{number // 2}')


def test_one_upstream_observed_by_many_counts_once():
    fleet = Fleet()
    for observer in 'abcd':
        fleet.crash(observer, 'i0', ('first', 'shared'))
    fleet.pass_time(3)
    assert not fleet.refusing('first', 'shared')


def test_crash_is_dropped_when_a_peer_gets_a_response_from_there():
    """A cut link of one process looks like the end of all upstreams."""
    fleet = Fleet()
    for number in range(6):
        fleet.crash('a', f'i{number}', ('first', 'shared'))
    fleet.pass_time(0.6)
    for number in range(4):
        fleet.processes['b'].record_response(
            f'i{number}', fleet.now - OLD_CONNECTION_S
        )
    fleet.pass_time(3)
    assert not fleet.refusing('first', 'shared')


def test_quarantine_ends_when_its_crashes_are_refuted():
    fleet = Fleet()
    for number in range(4):
        fleet.crash('a', f'i{number}', ('first', 'shared'))
    fleet.pass_time(3)
    assert fleet.refusing('first', 'shared') == 'abcd'
    fleet.processes['b'].record_response('i0', fleet.now - OLD_CONNECTION_S)
    fleet.pass_time(1)
    assert fleet.refusing('first', 'shared') == 'abcd'
    fleet.processes['b'].record_response('i1', fleet.now - OLD_CONNECTION_S)
    fleet.pass_time(2)
    assert not fleet.refusing('first', 'shared')


def test_response_read_at_the_time_of_a_crash_does_not_refute_it():
    fleet = Fleet()
    for number in range(3):
        fleet.crash('a', f'i{number}', ('first', 'bad'))
        fleet.processes['a'].record_response(
            f'i{number}', fleet.now - OLD_CONNECTION_S
        )
    fleet.pass_time(2)
    assert fleet.refusing('first', 'bad') == 'abcd'


def test_restarted_and_cut_off_processes_learn_the_part_from_peers():
    fleet = Fleet()
    for number in range(3):
        fleet.crash('a', f'i{number}', ('first', 'bad'))
    fleet.pass_time(prompt_crashes.REPORT_S + 5, 'd')
    assert fleet.refusing('bad') == 'abc'
    fleet.restart('a')
    fleet.pass_time(0.5)
    assert fleet.refusing('bad') == 'abcd'


def test_wrong_quarantine_of_a_cut_off_process_does_not_spread():
    fleet = Fleet()
    for number in range(6):
        fleet.crash('d', f'i{number}', ('first', 'shared'))
    fleet.pass_time(3, 'd')
    assert fleet.refusing('shared') == 'd'
    fleet.answer('b', 'first', 'shared')
    fleet.pass_time(2)
    assert not fleet.refusing('shared')


def test_part_is_forgotten_in_time_by_all():
    fleet = Fleet()
    for number in range(3):
        fleet.crash('a', f'i{number}', ('first', 'bad'))
    fleet.pass_time(prompt_crashes.QUARANTINE_S / 2)
    assert fleet.refusing('bad') == 'abcd'
    fleet.pass_time(prompt_crashes.QUARANTINE_S / 2 + 10)
    assert not fleet.refusing('bad')
    for process in fleet.processes.values():
        assert not process.is_active


def test_ended_quarantine_refuses_nothing_before_the_next_update():
    fleet = Fleet(names=('a',))
    for number in range(3):
        fleet.crash('a', f'i{number}', ('first', 'bad'))
    fleet.pass_time(2)
    assert fleet.refusing('bad') == 'a'
    fleet.now += prompt_crashes.QUARANTINE_S
    assert fleet.processes['a'].time_left_s(('bad',)) == 0


def test_part_that_a_peer_quarantined_is_told_once_by_the_update():
    fleet = Fleet(names=('a', 'b'))
    for number in range(3):
        fleet.crash('a', f'i{number}', ('first', 'bad'))
    fleet.now += crash_records.SETTLING_S + 1
    fleet.processes['a'].update()
    fleet.restart('b')
    fleet.exchange()
    (added,) = fleet.processes['b'].update()
    assert added.part == short_hash('bad')
    assert not fleet.processes['b'].update()


def test_memory_and_reports_are_bounded():
    fleet = Fleet()
    for number in range(500):
        prompts = [(f'f{number}', f's{part}') for part in range(200)]
        fleet.crash('a', f'i{number}', *prompts)
        fleet.answer('b', f'a{number}', *(f'b{part}' for part in range(20)))
    fleet.pass_time(3)
    process = fleet.processes['a']
    assert len(process._crashes) <= prompt_crashes.MAX_CRASHES
    assert len(process._quarantined) <= prompt_crashes.MAX_QUARANTINED
    assert (
        len(fleet.processes['b']._answers._answered_at)
        <= prompt_crashes.MAX_ANSWERED_PARTS
    )


def test_report_without_crashes_grows_by_one_byte():
    process = PromptQuarantine(int)
    process.record_answer(('first', 'shared'))
    assert process.news() is None


_PROMPTS = st.lists(
    st.tuples(st.sampled_from('fg'), st.sampled_from('xyz')), max_size=4
)


@given(st.lists(_PROMPTS, max_size=8), st.sampled_from('xyz'))
def test_answered_parts_are_never_refused(crashes, answered):
    fleet = Fleet()
    fleet.answer('b', 'f', 'g', answered)
    for number, prompts in enumerate(crashes):
        fleet.crash('a', f'i{number}', *prompts)
    fleet.pass_time(5)
    assert not fleet.refusing('f', 'g', answered)


@given(st.lists(_PROMPTS, min_size=5, max_size=8))
def test_part_in_each_crash_is_refused_unless_others_explain_all(crashes):
    fleet = Fleet()
    fleet.answer('b', 'f', 'g')
    for number, prompts in enumerate(crashes):
        fleet.crash('a', f'i{number}', ('f', 'bad'), *prompts)
    fleet.pass_time(3)
    assert fleet.refusing('bad') == 'abcd'
