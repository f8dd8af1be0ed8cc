"""briarrill.batch.outcomes: retry rules for item outcomes."""

from ..protocol.messages import BatchItem, ItemOutcome
from ..result_codes import Ran, ResultCode

__all__ = (
    'MAX_SIDECAR_LOSSES',
    'is_retryable',
    'quarantined_outcome',
    'sidecars_lost_outcome',
)

# an item ends with an error line after this many sidecars were lost with it
MAX_SIDECAR_LOSSES = 10


def is_retryable(outcome: ItemOutcome) -> bool:
    """Return whether another attempt may succeed.

    A completed item and one with a bad request are final.
    """
    return outcome.code not in {ResultCode.OK, ResultCode.BAD_REQUEST}


def sidecars_lost_outcome(batch_item: BatchItem) -> ItemOutcome:
    """Return the outcome of an item lost with MAX_SIDECAR_LOSSES sidecars."""
    return ItemOutcome(
        job=batch_item.job,
        index=batch_item.index,
        epoch=batch_item.epoch,
        code=ResultCode.UPSTREAM_LOST,
        ran=Ran.UNKNOWN,
        message=f'{MAX_SIDECAR_LOSSES} sidecars were lost with the item',
    )


def quarantined_outcome(batch_item: BatchItem) -> ItemOutcome:
    """Return the outcome of an item whose prompt no engine gets."""
    return ItemOutcome(
        job=batch_item.job,
        index=batch_item.index,
        epoch=batch_item.epoch,
        attempt=batch_item.attempt,
        code=ResultCode.PROMPT_QUARANTINED,
        ran=Ran.NO,
        message='several engines ended while they ran a part of the prompt',
    )
