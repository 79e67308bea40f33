"""Division of an endpoint's limit, on a clock that the test sets."""

import pytest

from clementineline.coordination import permits

WINDOW_S = 4.0
STEP_S = 0.01


def count_allowed(rate):
    """Return the requests that the rule allows within ``WINDOW_S``."""
    return 1.5 * rate * WINDOW_S + 5


def know(rate, named_at=0.0, since=0.0):
    return permits.KnownLimit(rate, named_at, since)


def count_busiest(times):
    """Return the most permits that are used within ``WINDOW_S``."""
    most = 0
    for start in times:
        inside = [t for t in times if start <= t <= start + WINDOW_S]
        most = max(most, len(inside))
    return most


def use_all(issuers, known, duration_s, start=0.0, wait_s=0.05):
    """Ask all issuers again and again; return when each permit is used."""
    times = []
    for number in range(int(duration_s / STEP_S)):
        now = start + number * STEP_S
        for issuer in issuers:
            permit, _ = issuer.issue('e', known, now, wait_s, False)
            if permit.granted:
                times.append(now + permit.delay_s)
    return sorted(times)


class TestRate:
    """Permits keep to the limit whenever they are asked for."""

    @pytest.mark.parametrize('rate', [0.0, 0.3, 1.1, 3.8, 40.0])
    def test_constant_demand(self, rate):
        times = use_all([permits.PermitIssuer()], know(rate), 12.0)
        assert count_busiest(times) <= count_allowed(rate)
        assert len(times) >= rate * 12.0 - 1

    @pytest.mark.parametrize('rate', [0.3, 1.1, 3.8, 40.0])
    def test_demand_after_a_pause(self, rate):
        issuer = permits.PermitIssuer()
        use_all([issuer], know(rate), 1.0)
        times = use_all([issuer], know(rate), 8.0, start=60.0)
        assert count_busiest(times) <= count_allowed(rate)

    @pytest.mark.parametrize('rate', [0.3, 1.1, 3.8, 40.0])
    def test_two_issuers_after_a_change(self, rate):
        """The earlier issuer goes on while the new one already issues."""
        earlier, new = permits.PermitIssuer(), permits.PermitIssuer()
        known = know(rate)
        before = use_all([earlier], known, 6.0)
        both = use_all([earlier, new], known, 4.0, start=6.0)
        assert count_busiest(before + both) <= count_allowed(rate)

    def test_limit_of_zero_gets_a_request_now_and_then(self):
        times = use_all([permits.PermitIssuer()], know(0.0), 40.0)
        assert 1 <= count_busiest(times) <= 5

    def test_lower_limit_holds_at_once(self):
        issuer = permits.PermitIssuer()
        use_all([issuer], know(40.0), 2.0)
        lower = know(2.0, named_at=2.0)
        times = use_all([issuer], lower, 8.0, start=2.0)
        assert count_busiest(times) <= count_allowed(2.0)

    def test_processes_without_an_issuer_keep_to_it_together(self):
        issuers = [permits.PermitIssuer() for _ in range(20)]
        times = []
        for number in range(1000):
            now = number * STEP_S
            for issuer in issuers:
                permit, _ = issuer.issue(
                    'e', know(4.0), now, 0.05, False, processes=20
                )
                if permit.granted:
                    times.append(now + permit.delay_s)
        assert count_busiest(sorted(times)) <= count_allowed(4.0)


class TestShares:
    """Live requests go first, and never stop the others."""

    def _run(self, live_rate, seconds=10.0):
        issuer = permits.PermitIssuer()
        granted = {True: 0, False: 0}
        asked = 0.0
        for number in range(int(seconds / STEP_S)):
            now = number * STEP_S
            asked += live_rate * STEP_S
            if asked >= 1:
                asked -= 1
                permit, _ = issuer.issue('e', know(4.0), now, 0.05, False)
                granted[False] += permit.granted
            permit, _ = issuer.issue('e', know(4.0), now, 0.0, True)
            granted[True] += permit.granted
        return granted

    def test_few_live_requests_are_all_admitted(self):
        granted = self._run(live_rate=1.0)
        assert granted[False] >= 9
        assert granted[True] >= 25

    def test_many_live_requests_leave_a_share(self):
        granted = self._run(live_rate=40.0)
        assert granted[False] >= 25
        assert granted[True] >= 8

    def test_items_alone_use_all(self):
        assert self._run(live_rate=0.0)[True] >= 36


class TestNews:
    """The issuer keeps what was named last."""

    def test_end_of_a_limit_reaches_others(self):
        issuer = permits.PermitIssuer()
        issuer.issue('e', know(1.0), 0.0, 0.0, False)
        assert issuer.note('e', know(None, named_at=5.0), 5.0)
        stale = know(1.0, named_at=4.0)
        permit, newest = issuer.issue('e', stale, 6.0, 0.0, False)
        assert permit.granted
        assert newest.rate is None

    def test_only_a_change_is_news(self):
        issuer = permits.PermitIssuer()
        assert issuer.note('e', know(1.0), 0.0)
        assert not issuer.note('e', know(1.0, named_at=1.0), 1.0)
        assert not issuer.note('e', know(9.0, named_at=0.5), 1.0)
        assert issuer.note('e', know(2.0, named_at=2.0), 2.0)

    def test_long_known_limit_had_another_issuer(self):
        issuer = permits.PermitIssuer()
        issuer.note('e', know(1.0, named_at=9.0), 10.0)
        issuer.note('new', know(1.0, named_at=9.9, since=9.9), 10.0)
        assert issuer.is_taking_over('e', 11.0)
        assert not issuer.is_taking_over('e', 19.0)
        assert not issuer.is_taking_over('new', 11.0)
