"""Division of endpoints' limits of requests a second among all processes.

One keeper issues the permits of an endpoint. If it changes, the next one
passes requests for permits on to the earlier one for some time, and issues
permits itself only if that one does not answer, since the processes do not all
notice the change at the same time.
"""

import dataclasses

__all__ = ['KnownLimit', 'Permit', 'PermitIssuer', 'PermitSchedule']

# Time during which an earlier issuer may still be active. It is longer than
# the time between two reads of the members.
TAKEOVER_S = 8.0
# Share of the limit that is used meanwhile.
TAKEOVER_SHARE = 0.5
# A limit that has been known for longer than this had an earlier issuer.
NEW_LIMIT_S = 1.0
# Permits that may be used at once: these, and those of this time.
BURST_MIN = 2
BURST_S = 1.0
# Share of the permits that items and reward calls get even if live requests
# could use all of them.
BULK_SHARE = 0.25
# An endpoint that takes nothing gets a request now and then, whose response
# shows whether this is still so.
RATE_MIN = 0.25
# Time after which an endpoint that no process asks for is forgotten.
FORGET_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class KnownLimit:
    """A limit that an endpoint named.

    :param rate: requests a second, None for no limit
    :param named_at: loop time of the last response that shows it, in seconds
    :param since: loop time from which the endpoint has had a limit, in
        seconds
    """

    rate: float | None
    named_at: float
    since: float


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """A permit for a request, or its refusal.

    :param granted: whether the request may be sent
    :param delay_s: time until the permit may be used, or until another one
        is expected, in seconds
    """

    granted: bool
    delay_s: float


class PermitSchedule:
    """Spaces the requests to one endpoint.

    :param rate: requests a second
    :param now: loop time, in seconds
    """

    __slots__ = ('_bulk_at', '_full_at', 'rate')

    def __init__(self, rate, now):
        self.rate = rate
        # Time at which all permits that may be used at once will have
        # accrued.
        self._full_at = now + BURST_MIN / rate + BURST_S
        # Time of the next permit that is guaranteed to bulk requests.
        self._bulk_at = now + 1 / (rate * BULK_SHARE)

    def take(self, now, wait_s, bulk):
        """Take a permit.

        Bulk requests leave the last permit to live requests, except for
        their guaranteed share.

        :param wait_s: how long the request may wait for the permit
        :param bulk: whether the request is an item or a reward call
        :returns: a :class:`Permit`
        """
        interval_s = 1 / self.rate
        kept = 1 if bulk else 0
        spare_s = (BURST_MIN - 1 - kept) * interval_s + BURST_S
        delay_s = max(0.0, self._full_at - spare_s - now)
        if delay_s > wait_s:
            if not bulk or now < self._bulk_at:
                return Permit(False, delay_s)
            delay_s = 0.0
        if bulk:
            self._bulk_at = max(now, self._bulk_at) + interval_s / BULK_SHARE
        self._full_at = max(now, self._full_at) + interval_s
        return Permit(True, delay_s)


class _Entry:
    """The limit of an endpoint, and its schedule once a permit was asked."""

    __slots__ = ('limit', 'noted_at', 'schedule', 'takeover_until')

    def __init__(self, limit, takeover_until, now):
        self.limit = limit
        self.takeover_until = takeover_until
        self.schedule = None
        self.noted_at = now


class PermitIssuer:
    """Issues permits for requests to endpoints with a limit."""

    __slots__ = ('_entries',)

    def __init__(self):
        self._entries = {}

    def issue(self, endpoint_id, known, now, wait_s, bulk, processes=1):
        """Issue a permit, or refuse it.

        :param known: the :class:`KnownLimit` of the process that asks
        :param now: loop time, in seconds
        :param wait_s: how long the request may wait for the permit
        :param bulk: whether the request is an item or a reward call
        :param processes: number of processes that issue permits for the
            endpoint, each to itself alone
        :returns: the :class:`Permit`, and the newest :class:`KnownLimit`
            that any process has told
        """
        self.note(endpoint_id, known, now)
        entry = self._entries[endpoint_id]
        if entry.limit.rate is None:
            return Permit(True, 0.0), entry.limit
        rate = self._get_rate(entry, now) / processes
        if entry.schedule is None:
            entry.schedule = PermitSchedule(rate, now)
        entry.schedule.rate = rate
        return entry.schedule.take(now, wait_s, bulk), entry.limit

    def note(self, endpoint_id, known, now):
        """Note a limit or its end.

        :param known: the :class:`KnownLimit` of any process
        :returns: whether it is news
        """
        entry = self._entries.get(endpoint_id)
        if entry is None:
            self._forget_unused(now)
            takeover_until = now
            if now - known.since > NEW_LIMIT_S:
                takeover_until = now + TAKEOVER_S
            entry = _Entry(known, takeover_until, now)
            self._entries[endpoint_id] = entry
            return True
        entry.noted_at = now
        if known.named_at <= entry.limit.named_at:
            return False
        changed = known.rate != entry.limit.rate
        entry.limit = known
        return changed

    def is_taking_over(self, endpoint_id, now):
        """Return whether an earlier issuer may still be active."""
        entry = self._entries.get(endpoint_id)
        return entry is not None and now < entry.takeover_until

    def list_limits(self):
        """Return a dict from endpoint id to its :class:`KnownLimit`."""
        limits = {}
        for endpoint_id, entry in self._entries.items():
            limits[endpoint_id] = entry.limit
        return limits

    def _get_rate(self, entry, now):
        share = 1.0
        if now < entry.takeover_until:
            share = TAKEOVER_SHARE
        return max(RATE_MIN, share * entry.limit.rate)

    def _forget_unused(self, now):
        for endpoint_id, entry in list(self._entries.items()):
            if now - entry.noted_at > FORGET_S:
                del self._entries[endpoint_id]
