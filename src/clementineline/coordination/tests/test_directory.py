import pytest

from clementineline.coordination import directory
from clementineline.state import directory as records
from clementineline.state import objects

ENTRY = {
    'service': 'desk',
    'address': '10.0.0.9:8080',
    'zone': 'walvis-a',
    'slots': 12,
    'leaving': False,
    'cold_s': 0.0,
    'versions': {'m0': 3},
    'born_ms': 5,
}


def decode(name, value):
    if not isinstance(value['slots'], int):
        return None
    return records.EndpointRecord(name, **value)


@pytest.fixture
def known(clock, log):
    return directory.Directory(decode, clock, log)


def build_object(name, **changes):
    return objects.PlatformObject('endpoints', name, 1, {**ENTRY, **changes})


def list_names(known):
    return sorted(state.id for state in known.list_usable('desk'))


class TestDirectory:
    def test_leaving_endpoint_is_not_usable(self, known):
        known.apply([build_object('a'), build_object('b')], [], True, False)
        known.apply([build_object('a', leaving=True)], [], False, False)
        assert list_names(known) == ['b']

    def test_removed_entry_is_dropped_immediately(self, known):
        known.apply([build_object('a')], [], True, False)
        known.apply([], ['a'], False, False)
        assert list_names(known) == []

    def test_restarted_instance_has_no_known_speed(self, known):
        """Guards against a new instance that is avoided for the old one."""
        known.apply([build_object('a')], [], True, False)
        before = known.endpoints['a'].speed
        known.apply([build_object('a', leaving=True)], [], False, False)
        assert known.endpoints['a'].speed is before
        known.apply([build_object('a', born_ms=6)], [], False, False)
        assert known.endpoints['a'].speed is not before

    def test_entry_lapsed_in_outage_has_time_to_reappear(self, known, clock):
        known.apply([build_object('a'), build_object('b')], [], True, False)
        known.apply([], ['a', 'b'], False, True)
        assert list_names(known) == ['a', 'b']
        clock.time_s += 1.0
        known.apply([build_object('a')], [], False, True)
        clock.time_s += 1.0
        assert list_names(known) == ['a']

    def test_leaving_entry_gets_no_time_to_reappear(self, known):
        known.apply([build_object('a', leaving=True)], [], True, False)
        known.apply([], ['a'], False, True)
        assert known.endpoints == {}

    def test_malformed_entry_removes_its_endpoint(self, known):
        known.apply([build_object('a')], [], True, False)
        known.apply([build_object('a', slots='x')], [], False, False)
        assert list_names(known) == []

    def test_newer_observed_version_is_kept(self, known):
        known.apply([build_object('a')], [], True, False)
        known.endpoints['a'].versions['m0'] = 5
        known.apply([build_object('a')], [], False, False)
        assert known.endpoints['a'].versions['m0'] == 5

    def test_restart_resets_the_observed_version(self, known):
        known.apply([build_object('a')], [], True, False)
        known.endpoints['a'].versions['m0'] = 5
        known.apply([build_object('a', born_ms=9)], [], False, False)
        assert known.endpoints['a'].versions['m0'] == 3


class TestUsableEndpoints:
    """The list is asked for more often than the endpoints change."""

    def test_list_is_built_once_between_changes(self, known):
        known.apply([build_object('a')], [], True, False)
        assert known.list_usable('desk') is known.list_usable('desk')

    def test_new_record_of_the_same_endpoint_keeps_the_list(self, known):
        known.apply([build_object('a')], [], True, False)
        usable = known.list_usable('desk')
        changes = known.changes
        known.apply([build_object('a', versions={'m0': 4})], [], False, False)
        assert known.list_usable('desk') is usable
        assert known.changes == changes

    def test_endpoint_that_changes_its_service_leaves_the_list(self, known):
        known.apply([build_object('a')], [], True, False)
        assert list_names(known) == ['a']
        known.apply([build_object('a', service='lm')], [], False, False)
        assert list_names(known) == []
        assert [state.id for state in known.list_usable('lm')] == ['a']

    def test_lapsed_endpoint_leaves_the_list_without_a_change(
        self, known, clock
    ):
        known.apply([build_object('a'), build_object('b')], [], True, False)
        known.apply([], ['a'], False, True)
        assert list_names(known) == ['a', 'b']
        clock.time_s += directory.LAPSED_ENTRY_GRACE_S + 0.1
        assert list_names(known) == ['b']
