"""Token buckets that limit retries and hedges."""

__all__ = ['AttemptBudget']


class AttemptBudget:
    """A token bucket that limits extra attempts to a share of the requests.

    :param share: extra attempts that each request adds to the budget
    :param burst: maximum number of extra attempts in the budget
    """

    __slots__ = ('_burst', '_share', '_tokens', 'denied', 'spent')

    def __init__(self, share, burst=10.0):
        self._share = share
        self._burst = burst
        self._tokens = burst
        self.spent = 0
        self.denied = 0

    def earn(self):
        """Add the extra attempts that one request allows."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def spend(self):
        """Take one extra attempt from the budget.

        :returns: whether the budget allows the attempt
        """
        if self._tokens < 1.0:
            self.denied += 1
            return False
        self._tokens -= 1.0
        self.spent += 1
        return True
