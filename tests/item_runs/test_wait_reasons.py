"""Tests of the reasons why items wait."""

import pathlib

import pytest

from briarrill.item_runs.wait_reasons import Refusal, WaitReason

OPERATIONS = pathlib.Path(__file__).parents[2] / 'docs' / 'OPERATIONS.md'


@pytest.mark.parametrize('refusal', Refusal)
def test_refused_item_waits_for_the_reason_of_its_refusal(refusal):
    reason = WaitReason.after_refusal(refusal)
    assert reason.value == f'refused-{refusal.value}'


def test_reasons_have_different_names():
    assert len({reason.value for reason in WaitReason}) == len(WaitReason)


def test_each_reason_is_described_for_operators():
    """Refusals share one row of the table."""
    text = OPERATIONS.read_text(encoding='utf-8')
    names = {
        'refused-...' if reason.value.startswith('refused-') else reason.value
        for reason in WaitReason
    }
    assert {name for name in names if f'`{name}`' not in text} == set()
