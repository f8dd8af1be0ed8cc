"""briarrill.protocol.prompt_news: what processes tell of crashes and causes.

A cause is a part of prompts, named by its hash, or a whole request, named by
its key.
"""

import attrs

__all__ = ('PromptNews', 'UpstreamCrash')


@attrs.frozen
class UpstreamCrash:
    """An upstream that ended while it may have begun to answer prompts.

    :param incarnation: hash of the upstream's incarnation.
    :param first_parts: hashes of the first parts of these prompts.
    :param other_parts: hashes of the other parts that they share with other
        requests.
    :param requests: keys of the requests.
    """

    incarnation: int
    first_parts: tuple[int, ...] = ()
    other_parts: tuple[int, ...] = ()
    requests: tuple[int, ...] = ()


@attrs.frozen
class PromptNews:
    """Recent observations of a process and its decisions.

    :param crashes: upstreams that the process found to have ended.
    :param alive: hashes of incarnations that it found to be alive instead.
    :param answered: seconds since an answer to a suspected request or to a
        prompt with a suspected part, by its key or hash.
    :param quarantined: seconds for which a request or a part of prompts is
        not sent to upstreams, by its key or hash.
    :param suspects: hashes of incarnations with the keys of the suspected
        requests that the process has in flight there.
    """

    crashes: tuple[UpstreamCrash, ...] = ()
    alive: tuple[int, ...] = ()
    answered: dict[int, int] = attrs.field(factory=dict)
    quarantined: dict[int, int] = attrs.field(factory=dict)
    suspects: tuple[tuple[int, int], ...] = ()
