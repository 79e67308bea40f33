"""Structured logs: one JSON line for each event, without any waiting."""

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

# Lines that wait for a slow reader; what comes beyond is counted and dropped.
BUFFER_BYTES_MAX = 512 * 1024
# Of one event and level: three times what the heaviest days write.
LINES_PER_S = 150


def _render(logger, name, event):
    return msgspec.json.encode(event, enc_hook=str).decode()


class BoundedWriter:
    """Writes lines to a descriptor without waiting for its reader.

    :param descriptor: file descriptor; it is made non-blocking
    """

    __slots__ = ('_descriptor', '_lines', '_size', 'dropped')

    def __init__(self, descriptor):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines = collections.deque()
        self._size = 0
        self.dropped = 0

    def write_line(self, text):
        """Write a line, or keep it until the reader takes more."""
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
                # The reader is slow or gone; the lines are kept up to the
                # limit, and then counted.
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
    """Leaves lines of an event out beyond so many a second.

    The first line of the event in a later second says how many; warnings
    and errors have a budget of their own, so that a flood of other lines
    never hides them.
    """

    __slots__ = ('_clock', '_counts', '_second')

    def __init__(self, clock=time.monotonic):
        self._clock = clock
        self._counts = {}
        self._second = 0

    def __call__(self, logger, name, event):
        """Pass an event on, or drop it; a structlog processor."""
        second = int(self._clock())
        if second != self._second:
            self._second = second
            for counts in self._counts.values():
                counts[0] = 0
        counts = self._counts.setdefault((event.get('event'), name), [0, 0])
        counts[0] += 1
        if counts[0] > LINES_PER_S:
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

    :param process: the process's name, in each line
    :param level: lowest level that is written
    :returns: the process's logger
    """
    _configure(level, structlog.PrintLoggerFactory(sys.stderr))
    return structlog.get_logger().bind(process=process)


def configure_stdout_logs(process, level='info'):
    """Configure logs on standard output that never wait for their reader.

    :param process: the process's name, in each line
    :param level: lowest level that is written
    :returns: the process's logger
    """
    writer = BoundedWriter(sys.stdout.fileno())
    _configure(level, lambda *args: writer, [LineRateLimiter()])
    return structlog.get_logger().bind(process=process)
