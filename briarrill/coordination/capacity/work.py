"""briarrill.coordination.capacity.work: the work that a request brings."""

import attrs

__all__ = ('UNKNOWN_WORK', 'PromptPart', 'UpstreamCapacity', 'Work')


@attrs.frozen
class PromptPart:
    """A part of a prompt, which other requests may share.

    :param tokens: its length.
    """

    part_id: str
    tokens: int


@attrs.frozen
class Work:
    """Tokens that a request has an upstream read and write.

    :param tokens_to_read: of the whole prompt; 0 if unknown.
    :param tokens_to_write: the most that it writes; 0 if unknown.
    :param parts: of the prompt, in order; the last one is its own.
    """

    tokens_to_read: int = 0
    tokens_to_write: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def tokens_to_hold(self) -> int:
        """Return the most tokens of an upstream's memory that it needs."""
        return self.tokens_to_read + self.tokens_to_write


#: Work of a request that tells nothing of it.
UNKNOWN_WORK = Work()


@attrs.frozen
class UpstreamCapacity:
    """What each upstream of a service can do, as configured.

    :param slots: requests that it runs at the same time; 0 if unknown.
    :param tokens: that its memory holds; 0 if unknown or without limit.
    """

    slots: int = 0
    tokens: int = 0
