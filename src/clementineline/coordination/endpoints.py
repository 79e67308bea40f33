"""State that an entry keeps of one endpoint and of the attempts there."""

import asyncio

from clementineline.coordination import pace
from clementineline.coordination import waiting
from clementineline.protocol import messages

__all__ = ['Attempt', 'Endpoint']


class Attempt:
    """One attempt of a request at an endpoint.

    :param id: id of the attempt
    :param endpoint: the :class:`Endpoint`
    :param share: ``live`` or a trainer's name; empty if the attempt uses no
        slot of this entry
    :param started_at: monotonic time, in seconds
    """

    __slots__ = ('endpoint', 'events', 'id', 'share', 'started_at')

    def __init__(self, id, endpoint, share, started_at):
        self.id = id
        self.endpoint = endpoint
        self.share = share
        self.started_at = started_at
        self.events = asyncio.Queue()


class Endpoint:
    """State of an endpoint: its sidecar's reports and this entry's attempts.

    :param member: the sidecar's :class:`messages.Member`
    :param clock: a :class:`~clementineline.clocks.Clock`
    """

    __slots__ = (
        '_clock',
        '_refused_as_full',
        '_used_by_others',
        'attempts',
        'member',
        'outstanding',
        'pace',
        'report',
        'session',
        'total_outstanding',
    )

    def __init__(self, member, clock):
        self.member = member
        self._clock = clock
        self.session = None
        self.report = None
        self.attempts = {}
        self.outstanding = {}
        self.total_outstanding = 0
        self._used_by_others = {}
        self._refused_as_full = False
        self.pace = pace.PaceTracker()

    @property
    def name(self):
        """The sidecar's name."""
        return self.member.name

    @property
    def connected(self):
        """Whether the session with the sidecar is connected."""
        return self.session is not None and self.session.connected

    def matches_incarnation(self, incarnation):
        """Return whether the session is with this sidecar incarnation."""
        return (
            self.session is not None
            and self.session.peer.incarnation == incarnation
        )

    @property
    def usable(self):
        """Whether the endpoint may get new requests."""
        return (
            self.connected
            and self.report is not None
            and not self.report.leaving
            and not self.member.leaving
            and self.report.capacity > 0
        )

    def handle_report(self, report):
        """Update the slots in use from a :class:`messages.Report`."""
        self.report = report
        self._refused_as_full = False
        others = {}
        for share, count in report.running.items():
            extra = count - self.outstanding.get(share, 0)
            if extra > 0:
                others[share] = extra
        self._used_by_others = others

    def count_used(self):
        """Return the number of slots that all entries use."""
        return self.total_outstanding + sum(self._used_by_others.values())

    def count_share(self, share):
        """Return the number of slots that a share uses in all entries."""
        return self.outstanding.get(share, 0) + self._used_by_others.get(
            share, 0
        )

    def get_shares(self):
        """Return the shares that use slots."""
        return {*self.outstanding, *self._used_by_others}

    def count_free(self, live):
        """Return the number of free slots.

        :param live: whether the slots are for live requests, which may use
            the reserve
        """
        if self._refused_as_full:
            # The last report lacks slots that other entries have taken since.
            return 0
        free = self.report.capacity - self.count_used()
        if not live:
            # Running live requests already use a part of the reserve.
            unused = self.report.reserve - self.count_share(waiting.LIVE)
            free -= max(0, unused)
        return free

    def reserve(self, share):
        """Reserve a slot for a share before its attempt is sent."""
        self.total_outstanding += 1
        self.outstanding[share] = self.outstanding.get(share, 0) + 1

    def release(self, share):
        """Release a slot that :meth:`reserve` reserved."""
        self.total_outstanding -= 1
        count = self.outstanding[share] - 1
        if count:
            self.outstanding[share] = count
        else:
            del self.outstanding[share]

    def dispatch(self, dispatch):
        """Send an attempt to the sidecar.

        The slot must have been reserved by :meth:`reserve`.

        :param dispatch: a :class:`messages.Dispatch`
        :returns: the :class:`Attempt`
        """
        now = self._clock.now()
        attempt = Attempt(dispatch.id, self, dispatch.share, now)
        self.attempts[attempt.id] = attempt
        self.pace.start(attempt.id, now)
        if self.session is None:
            # The session was lost after the slot had been reserved.
            self.handle_event(
                messages.Done(attempt.id, 'not-run', 'the session was lost')
            )
            return attempt
        self.session.send(dispatch)
        return attempt

    def attach(self, attempt_id):
        """Ask the sidecar for the outcome of an earlier attempt.

        :param attempt_id: id of the attempt
        :returns: an :class:`Attempt`
        """
        attempt = self.attempts.get(attempt_id)
        if attempt is None:
            attempt = Attempt(attempt_id, self, '', self._clock.now())
            self.attempts[attempt_id] = attempt
            if self.session is None:
                self.handle_event(
                    messages.Done(
                        attempt_id, 'may-have-run', 'the session was lost'
                    )
                )
                return attempt
            self.session.send(messages.Attach(attempt_id))
        return attempt

    def cancel(self, attempt, reason):
        """Ask the sidecar to end an attempt."""
        if self.session is not None:
            self.session.send(messages.Cancel(attempt.id, reason))

    def handle_event(self, event):
        """Pass an event to its attempt.

        :param event: a :class:`messages.Chunk` or :class:`messages.Done`
        :returns: the attempt if the event ended it, else None
        """
        attempt = self.attempts.get(event.id)
        if attempt is None:
            return None
        now = self._clock.now()
        if isinstance(event, messages.Chunk):
            self.pace.record(event.id, event.tokens, now)
            attempt.events.put_nowait(event)
            return None
        if event.outcome == 'answered' and self.member.kind == 'service':
            self.pace.record(event.id, 1, now)
        if event.outcome == 'not-run' and event.reason == 'full':
            self._refused_as_full = True
        self._end(attempt)
        attempt.events.put_nowait(event)
        return attempt

    def fail_all(self, reason):
        """End all attempts with an unknown outcome.

        :param reason: text of the ``may-have-run`` outcome
        """
        for attempt in list(self.attempts.values()):
            self._end(attempt)
            attempt.events.put_nowait(
                messages.Done(attempt.id, 'may-have-run', reason)
            )

    def _end(self, attempt):
        del self.attempts[attempt.id]
        self.pace.finish(attempt.id)
        if attempt.share:
            self.release(attempt.share)
