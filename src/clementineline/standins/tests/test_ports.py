import collections

from clementineline.standins import ports


class TestFindFreePorts:
    def test_port_is_not_given_again_before_it_is_used(self, monkeypatch):
        """Two servers of one test got the same port."""
        monkeypatch.setattr(ports, 'LAST_PORT', ports.FIRST_PORT + 40)
        monkeypatch.setattr(ports, '_given', collections.deque(maxlen=100))
        given = []
        for _ in range(10):
            given += ports.find_free_ports(2)
        assert len(set(given)) == 20
