"""briarrill.platform.prompt_headers: reads what heads tell of prompts."""

import itertools

from ..coordination.capacity.work import PromptPart, Work
from ..decoding import find_whole_number
from ..transport.http_messages import RequestHead, find_header

__all__ = ('read_shared_parts', 'read_work')

_PROMPT_PREFIX = b'briarrill-prompt-prefix'
_TOKEN_COUNT = b'briarrill-token-count'

# character set of HTTP headers
_CHARSET = 'latin-1'

# prompts have two or three parts
_MAX_PROMPT_PARTS = 16


def read_shared_parts(head: RequestHead) -> tuple[str, ...]:
    """Return the IDs of the prompt's parts but the last, in order.

    The last part is the request's or the session's own.
    """
    listed = find_header(head.headers, _PROMPT_PREFIX)
    if listed is None:
        return ()
    parts = listed.split(b',')
    parts.pop()
    part_ids = (part.partition(b':')[0].strip() for part in parts)
    decoded = (part_id.decode(_CHARSET) for part_id in part_ids)
    return tuple(itertools.islice(decoded, _MAX_PROMPT_PARTS))


def read_work(head: RequestHead) -> Work:
    """Return the tokens that a request names, and its prompt's parts.

    What cannot be read tells nothing.
    """
    listed = find_header(head.headers, _PROMPT_PREFIX) or b''
    entries = itertools.islice(listed.split(b','), _MAX_PROMPT_PARTS)
    to_read, to_write = _token_counts(head)
    return Work(
        tokens_to_read=to_read,
        tokens_to_write=to_write,
        parts=tuple(_read_part(entry) for entry in entries if entry),
    )


def _token_counts(head: RequestHead) -> tuple[int, int]:
    """Return the tokens of the prompt and the most of the output."""
    listed = find_header(head.headers, _TOKEN_COUNT) or b''
    to_read, _, to_write = listed.partition(b',')
    counts = (
        find_whole_number(to_read.strip()),
        find_whole_number(to_write.strip()),
    )
    if counts[0] is None or counts[1] is None:
        return 0, 0
    return counts[0], counts[1]


def _read_part(entry: bytes) -> PromptPart:
    """Read a part of a prompt; its length is 0 if it cannot be read."""
    part_id, _, length = entry.partition(b':')
    tokens = find_whole_number(length.strip()) or 0
    return PromptPart(part_id.strip().decode(_CHARSET), tokens)
