"""Log lines never block and are bounded."""

import json
import os

from briarrill.log_output import LINES_PER_S, MAX_BURST, LineOutput


class Clock:
    now = 1000.0

    def __call__(self):
        return self.now


class Sink:
    """Takes bytes, some of them, or none."""

    def __init__(self):
        self.taken = b''
        self.limit = None
        self.is_full = False

    def __call__(self, line):
        if self.is_full:
            raise BlockingIOError
        part = line[: self.limit]
        self.taken += part
        return len(part)

    @property
    def lines(self):
        return [json.loads(line) for line in self.taken.splitlines()]


def test_lines_over_the_rate_are_left_out_and_counted():
    sink, clock = Sink(), Clock()
    output = LineOutput(sink, clock)
    for number in range(int(MAX_BURST) + 50):
        output({'number': number})
    assert len(sink.lines) == MAX_BURST
    clock.now += 2 / LINES_PER_S
    output({'number': 'next'})
    assert sink.lines[-1] == {'number': 'next', 'lines_left_out': 50}


def test_reader_that_stops_costs_lines_and_no_time():
    sink = Sink()
    output = LineOutput(sink, Clock())
    output({'number': 1})
    sink.is_full = True
    output({'number': 2})
    output({'number': 3})
    sink.is_full = False
    output({'number': 4})
    assert sink.lines == [{'number': 1}, {'number': 4, 'lines_left_out': 2}]


def test_line_that_was_taken_in_part_is_finished_first():
    sink = Sink()
    output = LineOutput(sink, Clock())
    sink.limit = 4
    output({'number': 1})
    sink.limit = None
    output({'number': 2})
    assert [line['number'] for line in sink.lines] == [1, 2]


def test_full_pipe_does_not_block():
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    clock = Clock()
    output = LineOutput(lambda line: os.write(writer, line), clock)
    for _ in range(3000):
        clock.now += 1
        output({'text': 'x' * 100})
    assert output._dropped > 0
    os.close(reader)
    os.close(writer)
