"""Rate limit and partial writes of the log on standard output."""

import json
import os

from briarrill.log_output import MAX_BURST_LINES, MAX_LINES_PER_S, LineOutput


class Clock:
    now = 1000.0

    def __call__(self):
        return self.now


class Sink:
    """Accepts all bytes, at most ``limit`` a write, or none if full."""

    def __init__(self):
        self.written = b''
        self.limit = None
        self.is_full = False

    def __call__(self, line):
        if self.is_full:
            raise BlockingIOError
        part = line[: self.limit]
        self.written += part
        return len(part)

    @property
    def lines(self):
        return [json.loads(line) for line in self.written.splitlines()]


def test_lines_over_rate_limit_are_dropped_and_counted():
    sink, clock = Sink(), Clock()
    output = LineOutput(sink, clock)
    for number in range(int(MAX_BURST_LINES) + 50):
        output({'number': number})
    assert len(sink.lines) == MAX_BURST_LINES
    clock.now += 2 / MAX_LINES_PER_S
    output({'number': 'next'})
    assert sink.lines[-1] == {'number': 'next', 'lines_left_out': 50}


def test_lines_written_while_sink_is_full_are_dropped():
    sink = Sink()
    output = LineOutput(sink, Clock())
    output({'number': 1})
    sink.is_full = True
    output({'number': 2})
    output({'number': 3})
    sink.is_full = False
    output({'number': 4})
    assert sink.lines == [{'number': 1}, {'number': 4, 'lines_left_out': 2}]


def test_partly_written_line_is_completed_before_the_next():
    sink = Sink()
    output = LineOutput(sink, Clock())
    sink.limit = 4
    output({'number': 1})
    sink.limit = None
    output({'number': 2})
    assert [line['number'] for line in sink.lines] == [1, 2]


def test_full_pipe_drops_lines_without_blocking():
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    clock = Clock()
    output = LineOutput(lambda line: os.write(writer, line), clock)
    for _ in range(3000):
        clock.now += 1
        output({'text': 'x' * 100})
    assert output._dropped_lines > 0
    os.close(reader)
    os.close(writer)
