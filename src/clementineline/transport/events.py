"""Incremental parsing of streams of server-sent events."""

import dataclasses
import re

from clementineline import errors
from clementineline.transport import numbers

__all__ = ['Event', 'EventReader', 'EventSplitter', 'is_comment']


# Far above the few kilobytes of real events. An endpoint in trouble may send
# bytes that never end an event.
EVENT_MAX_BYTES = 256 * 1024
# The longest match of ``_EVENT_END``, less one byte.
_EVENT_END_OVERLAP = 3
_EVENT_END = re.compile(rb'\r?\n\r?\n')


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A complete event.

    :param number: its id
    :param data: its data lines, joined by newlines
    :param fields: dict from the lower-case name of each other field to its
        value, both bytes
    """

    number: int
    data: str
    fields: dict


class EventSplitter:
    """Splits a stream into its events without changing their bytes."""

    __slots__ = ('_partial',)

    def __init__(self):
        self._partial = b''

    @property
    def has_partial(self):
        """Whether the data so far ends within an event."""
        return bool(self._partial.strip())

    def feed(self, data):
        """Return ``(number, bytes)`` of each event that the data completes.

        The number is None if the event has no numeric id.

        :param data: the next bytes of the stream
        :raises errors.ProtocolError: if an event is larger than
            ``EVENT_MAX_BYTES``
        """
        searched = max(0, len(self._partial) - _EVENT_END_OVERLAP)
        buffered = self._partial + data
        found = []
        start = 0
        for match in _EVENT_END.finditer(buffered, searched):
            raw = buffered[start : match.end()]
            found.append((_find_number(raw), raw))
            start = match.end()
        self._partial = buffered[start:]
        if len(self._partial) > EVENT_MAX_BYTES:
            raise errors.ProtocolError(
                f'event of more than {len(self._partial)} bytes, expected at '
                f'most {EVENT_MAX_BYTES}'
            )
        return found


class EventReader:
    """Parses the events of a stream; an incomplete last one is ignored."""

    __slots__ = ('_splitter',)

    def __init__(self):
        self._splitter = EventSplitter()

    @property
    def has_partial(self):
        """Whether the data so far ends within an event."""
        return self._splitter.has_partial

    def feed(self, data):
        """Return each :class:`Event` that the data completes.

        :param data: the next bytes of the stream
        :raises errors.ProtocolError: if an event has no numeric id, or is
            larger than ``EVENT_MAX_BYTES``
        """
        found = []
        for _, raw in self._splitter.feed(data):
            block = raw.replace(b'\r\n', b'\n').strip(b'\n')
            if block.strip():
                found.append(_parse_block(block))
        return found


def is_comment(raw):
    """Return whether an event has no fields, only comments or blank lines."""
    lines = raw.splitlines()
    return all(not line.strip() or line.startswith(b':') for line in lines)


def _find_number(raw):
    for line in raw.splitlines():
        name, _, value = line.partition(b':')
        if name == b'id':
            number = numbers.read_integer(value)
            if number is not None:
                return number
    return None


def _parse_block(block):
    number = None
    data = []
    fields = {}
    for line in block.split(b'\n'):
        name, _, value = line.partition(b':')
        value = value.removeprefix(b' ')
        if name == b'data':
            data.append(value)
        elif name == b'id':
            number = numbers.read_integer(value)
            if number is None:
                raise errors.ProtocolError(
                    f'event id {value[:80]!r}: expected a number'
                )
        elif name:
            fields[name.lower()] = value
    if number is None:
        raise errors.ProtocolError(f'event without an id: {block[:80]!r}')
    return Event(number, b'\n'.join(data).decode('utf-8'), fields)
