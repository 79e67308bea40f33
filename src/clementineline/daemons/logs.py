"""Structured logs: one JSON line per event.

A process never waits for a slow reader of its standard output: lines are
buffered and, beyond a limit, dropped and counted.
"""

import collections
import logging
import os
import sys
import time

import msgspec
import structlog

__all__ = [
    'BoundedWriter',
    'LineRateLimiter',
    'configure_logs',
    'configure_stdout_logs',
]

BUFFER_BYTES_MAX = 512 * 1024
# Limit for each event and level: three times the rate at the heaviest load.
LINES_PER_S_MAX = 150


def _render(logger, name, event):
    return msgspec.json.encode(event, enc_hook=str).decode()


class BoundedWriter:
    """Writes lines to a file descriptor without waiting for its reader.

    Lines beyond ``BUFFER_BYTES_MAX`` are dropped. Once the buffer is empty
    again, a line says how many.

    :param descriptor: file descriptor; it is made non-blocking
    :ivar dropped: number of dropped lines that were not reported yet
    """

    __slots__ = ('_descriptor', '_lines', '_size', 'dropped')

    def __init__(self, descriptor):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines = collections.deque()
        self._size = 0
        self.dropped = 0

    def write_line(self, text):
        """Write a line, or buffer it while the reader is slow."""
        line = text.encode() + b'\n'
        if self._size + len(line) > BUFFER_BYTES_MAX:
            self.dropped += 1
            self._flush()
            return
        if self.dropped and not self._lines:
            self._append(b'{"event":"dropped","lines":%d}\n' % self.dropped)
            self.dropped = 0
        self._append(line)
        self._flush()

    def _append(self, line):
        self._lines.append(line)
        self._size += len(line)

    def _flush(self):
        while self._lines:
            line = self._lines[0]
            try:
                written = os.write(self._descriptor, line)
            except OSError:
                # The reader is slow or gone. The lines stay in the buffer.
                return
            self._size -= written
            if written < len(line):
                self._lines[0] = line[written:]
                return
            self._lines.popleft()

    # The methods that structlog calls.
    info = debug = warning = error = critical = exception = write_line
    msg = write_line


class LineRateLimiter:
    """Limits the lines of each event and level per second.

    The first line of the event in a later second holds the number of omitted
    lines. Levels are counted separately, so that a flood of lines of one
    level never hides warnings or errors.

    :param clock: function that returns monotonic time, in seconds
    """

    __slots__ = ('_clock', '_counts', '_second')

    def __init__(self, clock=time.monotonic):
        self._clock = clock
        # By event and level: lines in the current second, and omitted lines.
        self._counts = {}
        self._second = 0

    def __call__(self, logger, name, event):
        """Return the event or drop it, as a structlog processor."""
        second = int(self._clock())
        if second != self._second:
            self._second = second
            for counts in self._counts.values():
                counts[0] = 0
        counts = self._counts.setdefault((event.get('event'), name), [0, 0])
        counts[0] += 1
        if counts[0] > LINES_PER_S_MAX:
            counts[1] += 1
            raise structlog.DropEvent
        if counts[1]:
            event['omitted'] = counts[1]
            counts[1] = 0
        return event


def _configure(level, logger_factory, processors=()):
    structlog.configure(
        processors=[
            *processors,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            _render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=logger_factory,
        cache_logger_on_first_use=True,
    )


def configure_logs(process, level='info'):
    """Configure logs on standard error for a process.

    :param process: name of the process, which is part of each line
    :param level: lowest level that is logged
    :returns: the process's logger
    """
    _configure(level, structlog.PrintLoggerFactory(sys.stderr))
    return structlog.get_logger().bind(process=process)


def configure_stdout_logs(process, level='info'):
    """Configure non-blocking logs on standard output for a process.

    :param process: name of the process, which is part of each line
    :param level: lowest level that is logged
    :returns: the process's logger
    """
    writer = BoundedWriter(sys.stdout.fileno())
    _configure(level, lambda *args: writer, [LineRateLimiter()])
    return structlog.get_logger().bind(process=process)
