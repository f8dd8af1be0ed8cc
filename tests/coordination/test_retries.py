"""Tests of retry budgets."""

from briarrill.coordination.retries import RetryBudgets

REQUESTS = 1000


def test_retries_of_failing_requests_stay_within_ratio_and_burst():
    """1,000 failing requests allow 100 retries beyond the burst of 10."""
    budgets = RetryBudgets(ratio=0.1, burst=10)
    retries = 0
    for _ in range(REQUESTS):
        budgets.record_request('busy')
        while budgets.try_spend_retry('busy'):
            retries += 1
    assert retries <= REQUESTS / 10 + 10


def test_contract_without_budget_does_not_affect_another():
    budgets = RetryBudgets(ratio=0.1, burst=1)
    assert budgets.try_spend_retry('failing')
    assert not budgets.try_spend_retry('failing')
    assert budgets.try_spend_retry('other')
