"""Tests of what is kept of ended upstreams and of answers."""

from briarrill.coordination.crash_records import (
    ANSWER_VALIDITY_S,
    MAX_PARTS_PER_CRASH,
    MAX_REQUESTS_PER_CRASH,
    Answers,
    CrashRecord,
    QuarantineSpan,
)
from briarrill.protocol.prompt_news import UpstreamCrash


def test_answer_clears_what_was_in_flight_in_the_next_minute():
    answers = Answers(9)
    answers.add(1, 100)
    assert answers.clear(1, 100 + ANSWER_VALIDITY_S - 1)
    assert not answers.clear(1, 100 + ANSWER_VALIDITY_S)
    assert not answers.clear(2, 100)


def test_oldest_answers_are_forgotten_first():
    answers = Answers(2)
    for number in (1, 2, 1, 3):
        answers.add(number, 100)
    cleared = [number for number in (1, 2, 3) if answers.clear(number, 100)]
    assert cleared == [1, 3]


def test_crash_keeps_a_bounded_number_of_parts_and_requests():
    record = CrashRecord(100)
    record.add(UpstreamCrash(1, (), tuple(range(99)), tuple(range(99))), 100)
    assert len(record.parts) == MAX_PARTS_PER_CRASH
    assert len(record.requests) == MAX_REQUESTS_PER_CRASH


def test_answered_requests_are_not_suspected():
    record = CrashRecord(100)
    record.add(UpstreamCrash(1, requests=(7, 8)), 100)
    answers = Answers(9)
    answers.add(7, 99)
    assert record.suspected_requests(answers) == {8}


def test_quarantine_ends_when_too_few_of_its_crashes_remain():
    span = QuarantineSpan(100, 700, {1, 2, 3})
    crashes = {number: CrashRecord(100) for number in (1, 2, 3)}
    assert not span.is_refuted(crashes)
    crashes[2].refute(101)
    assert span.is_refuted(crashes)
    assert span.evidence == {1, 3}
