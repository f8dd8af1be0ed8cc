"""briarrill.item_runs.wait_reasons: why an open item does not start.

The functions that decide about starts name these reasons. None of them
stands for an item that a process runs.
"""

import enum

__all__ = ('Refusal', 'WaitReason')


class Refusal(enum.Enum):
    """Why an upstream or this process refused a run.

    LEASE: a peer kept the item. PART: of its prompt. PERMIT: the request
    limit. CONNECTION: the upstream is unreachable. REPLACED: it left, or
    another process answers there. VERSION: it cannot go on with the output.
    UPSTREAM: it answered that it did not execute the item. MEMORY: the same
    for an item that may need more than the upstream's whole memory. ROUTE:
    the item's route does not lead there any more.
    """

    LEASE = 'lease'
    PART = 'part'
    PERMIT = 'permit'
    CONNECTION = 'connection'
    REPLACED = 'replaced'
    VERSION = 'version'
    UPSTREAM = 'upstream'
    MEMORY = 'memory'
    ROUTE = 'route'


class WaitReason(enum.Enum):
    """Why a process does not start an item.

    An item that has several reasons has the first of them here. STARTABLE:
    nothing holds it, so that the next scheduling pass starts it.
    """

    RESULT_REFUSED = 'result-refused'
    RESULT_BLOCKED = 'result-blocked'
    RESULT_UNWRITTEN = 'result-unwritten'
    NO_CONFIGURATION = 'no-configuration'
    ISOLATED = 'isolated'
    DRAINING = 'draining'
    AWAITS_REPORTS = 'awaits-reports'
    AWAITS_ROUTES = 'awaits-routes'
    NO_ROUTE = 'no-route'
    OTHER_PROCESS = 'other-process'
    HANDED_OVER = 'handed-over'
    PART_QUARANTINED = 'part-quarantined'
    PART_AWAITS_DECISION = 'part-awaits-decision'
    REFUSED_LEASE = 'refused-lease'
    REFUSED_PART = 'refused-part'
    REFUSED_PERMIT = 'refused-permit'
    REFUSED_CONNECTION = 'refused-connection'
    REFUSED_REPLACED = 'refused-replaced'
    REFUSED_VERSION = 'refused-version'
    REFUSED_UPSTREAM = 'refused-upstream'
    REFUSED_MEMORY = 'refused-memory'
    REFUSED_ROUTE = 'refused-route'
    DELAYED = 'delayed'
    NO_UPSTREAM = 'no-upstream'
    NONE_ACCEPTING = 'none-accepting'
    NONE_OWNED = 'none-owned'
    AT_LIMIT = 'at-limit'
    SUSPECTED = 'suspected'
    FULL = 'full'
    AVOIDS_UPSTREAM = 'avoids-upstream'
    AWAITS_VERSION = 'awaits-version'
    STARTABLE = 'startable'

    @classmethod
    def after_refusal(cls, refusal: Refusal) -> 'WaitReason':
        """Return the reason of an item whose last run was refused."""
        return cls(f'refused-{refusal.value}')
