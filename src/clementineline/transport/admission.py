"""Bounds on connections, and the record of refused clients."""

import asyncio
import enum

__all__ = ['ConnectionTable', 'Entry', 'RefusalRecord', 'State']

# Part of the connections that a single address cannot use.
RESERVE_SHARE = 0.125
LOG_INTERVAL_S = 10.0
# Addresses whose last log line is remembered.
ADDRESSES_MAX = 1000


class State(enum.IntEnum):
    """What a connection does; those of lower states are closed first."""

    IDLE = 0
    READING = 1
    SENDING = 2
    # A request is handled, which is never ended to make room.
    BUSY = 3


class Entry:
    """An open connection.

    :param address: IP address of the peer
    :param close: called to close the connection
    :ivar state: its :class:`State`
    :ivar since: loop time of the last change of its state, in seconds
    """

    __slots__ = ('address', 'close', 'since', 'state')

    def __init__(self, address, close):
        self.address = address
        self.close = close
        self.set_state(State.IDLE)

    def set_state(self, state):
        """Set the state, also if it is the same again."""
        self.state = state
        self.since = asyncio.get_running_loop().time()


class ConnectionTable:
    """The connections of one port, which are bounded in number.

    A new connection is always accepted if another one can be closed for it:
    one of the address with the most connections, the longest idle first. A
    single address cannot use the whole number.

    :param limit: most connections
    :param refusals: the :class:`RefusalRecord`
    """

    __slots__ = ('_by_address', '_refusals', 'count', 'limit')

    def __init__(self, limit, refusals):
        self._by_address = {}
        self._refusals = refusals
        self.count = 0
        self.limit = limit

    def add(self, address, close):
        """Add a connection, and close another one if there are too many.

        :param address: IP address of the peer
        :param close: called to close the connection
        :returns: the :class:`Entry`; None if the connection must be closed
        """
        own = self._by_address.get(address, {})
        address_limit = self.limit * (1.0 - RESERVE_SHARE)
        if self.count >= self.limit:
            if not self._close_one(address):
                self._refusals.note(address, 'connections')
                return None
        elif len(own) >= address_limit and not self._close_one_of(address):
            self._refusals.note(address, 'connections')
            return None
        entry = Entry(address, close)
        self._by_address.setdefault(address, {})[entry] = True
        self.count += 1
        return entry

    def remove(self, entry):
        """Remove a connection; do nothing if it was removed."""
        entries = self._by_address.get(entry.address, {})
        if entries.pop(entry, None):
            self.count -= 1
            if not entries:
                del self._by_address[entry.address]

    def _close_one(self, newcomer):
        """Close a connection of the address with the most.

        :param newcomer: address of the new connection, which counts
        """
        counts = {}
        for address, entries in self._by_address.items():
            counts[address] = len(entries) + (address == newcomer)
        for address in sorted(counts, key=counts.get, reverse=True):
            if counts[address] < counts.get(newcomer, 1):
                return False
            if self._close_one_of(address):
                return True
        return False

    def _close_one_of(self, address):
        chosen = None
        for entry in self._by_address[address]:
            if entry.state is State.BUSY:
                continue
            rank = (entry.state, entry.since)
            if chosen is None or rank < (chosen.state, chosen.since):
                chosen = entry
        if chosen is None:
            return False
        self.remove(chosen)
        self._refusals.note(address, 'connections')
        chosen.close()
        return True


class RefusalRecord:
    """Counts refused clients, with few log lines for each address.

    :param log: logger
    :ivar on_refusal: called with the reason of each refusal
    """

    __slots__ = ('_by_address', '_log', 'on_refusal')

    def __init__(self, log):
        # Loop time of the last line and number of refusals since.
        self._by_address = {}
        self._log = log
        self.on_refusal = lambda reason: None

    def note(self, address, reason, **details):
        """Count a refusal and log it, unless the address was just logged.

        :param address: IP address of the client
        :param reason: one word
        :param details: further fields of the log line
        """
        self.on_refusal(reason)
        now = asyncio.get_running_loop().time()
        logged_at, omitted = self._by_address.get(address, (None, 0))
        if logged_at is not None and now - logged_at < LOG_INTERVAL_S:
            self._by_address[address] = logged_at, omitted + 1
            return
        self._by_address.pop(address, None)
        if len(self._by_address) >= ADDRESSES_MAX:
            del self._by_address[next(iter(self._by_address))]
        self._by_address[address] = now, 0
        self._log.info(
            'client refused',
            address=address,
            reason=reason,
            since_last_line=omitted,
            **details,
        )
