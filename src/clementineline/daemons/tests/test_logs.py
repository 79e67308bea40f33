import os
import time

import structlog

from clementineline.daemons import logs


class TestBoundedWriter:
    def test_blocked_reader_delays_no_write_and_gets_the_drop_count(self):
        reader, writer = os.pipe()
        output = logs.BoundedWriter(writer)
        line = 'x' * 1000
        started = time.monotonic()
        for _ in range(5000):
            output.write_line(line)
        # A blocking write would never return.
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
        complete = [entry for entry in lines if entry.startswith(b'x')]
        assert {len(entry) for entry in complete} == {1000}

    def test_order_is_kept(self):
        reader, writer = os.pipe()
        output = logs.BoundedWriter(writer)
        for number in range(100):
            output.info(str(number))
        lines = os.read(reader, 65536).decode().split()
        assert lines == [str(number) for number in range(100)]


class TestLineRateLimiter:
    def test_omitted_lines_are_counted_and_warnings_pass(self, clock):
        limiter = logs.LineRateLimiter(clock.now)
        written = 0
        for _ in range(1000):
            try:
                limiter(None, 'info', {'event': 'attempt'})
                written += 1
            except structlog.DropEvent:
                continue
        assert written == logs.LINES_PER_S_MAX
        assert limiter(None, 'warning', {'event': 'attempt'})
        clock.time_s += 1.0
        line = limiter(None, 'info', {'event': 'attempt'})
        assert line['omitted'] == 1000 - logs.LINES_PER_S_MAX
        assert 'omitted' not in limiter(None, 'info', {'event': 'attempt'})
