"""Counts what the HTTP parser does between two turns of a task."""

import contextlib

import h11
import trio


class ParserSteps(trio.abc.Instrument):
    """Counts the parser's events in each step of a task."""

    def __init__(self):
        self.events = 0
        self.most_events = 0

    def before_task_step(self, task):
        self.events = 0

    def count(self):
        self.events += 1
        self.most_events = max(self.most_events, self.events)


@contextlib.contextmanager
def count_parser_steps(monkeypatch):
    """Yield a counter of the events that parsers return meanwhile."""
    steps = ParserSteps()
    next_event = h11.Connection.next_event

    def count_event(parser):
        steps.count()
        return next_event(parser)

    with monkeypatch.context() as patch:
        patch.setattr(h11.Connection, 'next_event', count_event)
        trio.lowlevel.add_instrument(steps)
        yield steps
        trio.lowlevel.remove_instrument(steps)
