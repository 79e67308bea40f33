"""Structured logs: one JSON line for each event, on standard error."""

import logging
import sys

import msgspec
import structlog

__all__ = ['configure_logs']


def _render(logger, name, event):
    return msgspec.json.encode(event, enc_hook=str).decode()


def configure_logs(process, level='info'):
    """Configure structlog for a process.

    :param process: the process's name, in each line
    :param level: lowest level that is written
    :returns: the process's logger
    """
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            _render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    return structlog.get_logger().bind(process=process)
