"""Budgets that keep retries and hedges a small share of the work."""

__all__ = ['AttemptBudget']


class AttemptBudget:
    """Allows extra attempts as a share of the requests.

    :param share: extra attempts allowed for each request
    :param burst: extra attempts that may be saved up
    """

    __slots__ = ('_burst', '_share', '_tokens', 'denied', 'spent')

    def __init__(self, share, burst=10.0):
        self._share = share
        self._burst = burst
        self._tokens = burst
        self.spent = 0
        self.denied = 0

    def earn(self):
        """Note a request."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def spend(self):
        """Take one extra attempt if the budget allows it.

        :returns: whether it does
        """
        if self._tokens < 1.0:
            self.denied += 1
            return False
        self._tokens -= 1.0
        self.spent += 1
        return True
