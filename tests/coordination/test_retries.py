"""Retry budgets."""

from briarrill.coordination.retries import RetryBudgets

REQUESTS = 1000


def test_retries_of_a_failing_pool_stay_within_the_ratio():
    """After the burst, 1,000 failing requests bring 100 retries."""
    budgets = RetryBudgets(ratio=0.1, burst=10)
    retries = 0
    for _ in range(REQUESTS):
        budgets.record_request('busy')
        while budgets.take_retry('busy'):
            retries += 1
    assert retries <= REQUESTS / 10 + 10


def test_one_contract_does_not_use_the_budget_of_another():
    budgets = RetryBudgets(ratio=0.1, burst=1)
    assert budgets.take_retry('failing')
    assert not budgets.take_retry('failing')
    assert budgets.take_retry('other')
