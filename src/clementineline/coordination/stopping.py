"""Decision which requests a stopping process still accepts."""

__all__ = ['StopSchedule']


class StopSchedule:
    """The times of a planned stop.

    :param late_at: loop time from which callers should have noticed the
        stop, in seconds
    :param ends_at: loop time at which all requests must have been answered,
        in seconds
    """

    __slots__ = ('ends_at', 'late_at')

    def __init__(self, late_at, ends_at):
        self.late_at = late_at
        self.ends_at = ends_at

    def find_refusal(self, now, deadline, repeatable):
        """Return why a request must not be sent to an endpoint, or ''.

        A request whose deadline is before the end is answered in any case.
        A longer one may be cut off. This does no harm if the caller may
        repeat it, but once the callers know of the stop, it is better sent
        elsewhere at once.

        :param now: loop time, in seconds
        :param deadline: loop time at which the caller gives up, in seconds
        :param repeatable: whether the request may run more than once
        """
        if deadline <= self.ends_at:
            return ''
        if repeatable and now < self.late_at:
            return ''
        return (
            f'stopping in {self.ends_at - now:.1f} s; '
            f'the request may take {deadline - now:.1f} s'
        )
