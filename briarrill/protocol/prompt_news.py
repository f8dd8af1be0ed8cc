"""briarrill.protocol.prompt_news: what processes tell of crashing prompts."""

import attrs

__all__ = ('PromptNews', 'UpstreamCrash')


@attrs.frozen
class UpstreamCrash:
    """An upstream that ended while it may have begun to answer prompts.

    :param incarnation: hash of the upstream's incarnation.
    :param first_parts: hashes of the first parts of these prompts.
    :param other_parts: hashes of the other parts that they share with other
        requests.
    """

    incarnation: int
    first_parts: tuple[int, ...] = ()
    other_parts: tuple[int, ...] = ()


@attrs.frozen
class PromptNews:
    """Recent observations of a process and its decisions.

    :param crashes: upstreams that the process found to have ended.
    :param alive: hashes of incarnations that it found to be alive instead.
    :param answered: seconds since an answer to a prompt with a part that is
        suspected to crash upstreams, by the part's hash.
    :param quarantined: seconds for which a part of prompts is not sent to
        upstreams, by its hash.
    """

    crashes: tuple[UpstreamCrash, ...] = ()
    alive: tuple[int, ...] = ()
    answered: dict[int, int] = attrs.field(factory=dict)
    quarantined: dict[int, int] = attrs.field(factory=dict)
