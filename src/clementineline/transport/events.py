"""Reading a stream of server-sent events as it arrives."""

import dataclasses
import re

from clementineline import errors

__all__ = ['Event', 'EventReader', 'EventSplitter']


_EVENT_END = re.compile(rb'\r?\n\r?\n')


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One whole event.

    :param number: its id
    :param fields: other fields by name, bytes
    """

    number: int
    data: str
    fields: dict


class EventSplitter:
    """Splits a stream into the bytes of its events, none of them changed."""

    __slots__ = ('_partial',)

    def __init__(self):
        self._partial = b''

    @property
    def has_partial(self):
        """Whether the stream stands within an event."""
        return bool(self._partial.strip())

    def feed(self, data):
        """Return ``(number, bytes)`` of each event that became whole.

        The number is None where an event has none.
        """
        buffered = self._partial + data
        found = []
        start = 0
        for match in _EVENT_END.finditer(buffered):
            raw = buffered[start : match.end()]
            found.append((_find_number(raw), raw))
            start = match.end()
        self._partial = buffered[start:]
        return found


class EventReader:
    """Reads a stream's events; an event without its end is left out."""

    __slots__ = ('_splitter',)

    def __init__(self):
        self._splitter = EventSplitter()

    @property
    def has_partial(self):
        """Whether the stream stands within an event."""
        return self._splitter.has_partial

    def feed(self, data):
        """Return the events that became whole.

        :raises errors.ProtocolError: if an event has no proper id
        """
        found = []
        for _, raw in self._splitter.feed(data):
            block = raw.replace(b'\r\n', b'\n').strip(b'\n')
            if block.strip():
                found.append(_parse_block(block))
        return found


def _find_number(raw):
    for line in raw.splitlines():
        name, _, value = line.partition(b':')
        if name == b'id' and value.strip().isdigit():
            return int(value)
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
            if not value.isdigit():
                raise errors.ProtocolError(
                    f'event id {value!r}: expected a number'
                )
            number = int(value)
        elif name:
            fields[name.lower()] = value
    if number is None:
        raise errors.ProtocolError(f'event without an id: {block[:80]!r}')
    return Event(number, b'\n'.join(data).decode('utf-8'), fields)
