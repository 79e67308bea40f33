import os
import time

import structlog

from clementineline.daemons import logs


class TestBoundedWriter:
    def test_blocked_reader_delays_nothing_and_is_told_later(self):
        reader, writer = os.pipe()
        output = logs.BoundedWriter(writer)
        line = 'x' * 1000
        started = time.monotonic()
        for _ in range(5000):
            output.write_line(line)
        # A blocked write would stay here for ever.
        assert time.monotonic() - started < 5.0
        dropped = output.dropped
        assert dropped > 3000
        received = bytearray()
        os.set_blocking(reader, False)
        while output._lines:
            received += os.read(reader, 1 << 20)
            output._flush()
        output.write_line('last')
        received += os.read(reader, 1 << 20)
        lines = bytes(received).split(b'\n')
        assert b'{"event":"dropped","lines":%d}' % dropped in lines
        assert lines[-2] == b'last'
        whole = [entry for entry in lines if entry.startswith(b'x')]
        assert {len(entry) for entry in whole} == {1000}

    def test_order_is_kept(self):
        reader, writer = os.pipe()
        output = logs.BoundedWriter(writer)
        for number in range(100):
            output.info(str(number))
        lines = os.read(reader, 65536).decode().split()
        assert lines == [str(number) for number in range(100)]


class TestLineBudget:
    def test_flood_is_counted_and_warnings_get_through(self, clock):
        budget = logs.LineRateLimiter(clock.now)
        written = 0
        for _ in range(1000):
            try:
                budget(None, 'info', {'event': 'attempt'})
                written += 1
            except structlog.DropEvent:
                continue
        assert written == logs.LINES_PER_S
        assert budget(None, 'warning', {'event': 'attempt'})
        clock.time_s += 1.0
        line = budget(None, 'info', {'event': 'attempt'})
        assert line['omitted'] == 1000 - logs.LINES_PER_S
        assert 'omitted' not in budget(None, 'info', {'event': 'attempt'})
