"""briarrill.batch.outcomes: what an item's outcome means for it."""

from ..protocol.messages import BatchItem, ItemOutcome
from ..result_codes import Ran, ResultCode

__all__ = ('MAX_ITEM_LOSSES', 'is_retryable', 'lost_outcome')

# sidecars lost with an item before it ends with an error line
MAX_ITEM_LOSSES = 10


def is_retryable(outcome: ItemOutcome) -> bool:
    """Return whether another attempt may end better."""
    return outcome.code not in {ResultCode.OK, ResultCode.BAD_REQUEST}


def lost_outcome(batch_item: BatchItem) -> ItemOutcome:
    """Return the outcome of an item whose sidecars were all lost."""
    return ItemOutcome(
        job=batch_item.job,
        index=batch_item.index,
        epoch=batch_item.epoch,
        code=ResultCode.UPSTREAM_LOST,
        ran=Ran.UNKNOWN,
        message=f'{MAX_ITEM_LOSSES} sidecars were lost with the item',
    )
