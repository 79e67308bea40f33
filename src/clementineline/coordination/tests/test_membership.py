"""Tests of the member table and of the choice of sessions.

An outdated record must not replace a newer one, and a change of one member
must not move many sessions.
"""

import collections

import pytest

from clementineline.coordination import membership


@pytest.fixture
def build_fleet(build_member):
    def build(entries, sidecars):
        members = []
        for number in range(entries):
            members.append(
                build_member(
                    f'e-{number:03d}',
                    'entry',
                    availability_zone=f'zone-{number % 4}',
                )
            )
        for number in range(sidecars):
            members.append(
                build_member(
                    f's-{number:03d}',
                    kind='engine',
                    serves='m',
                    availability_zone=f'zone-{number % 4}',
                )
            )
        return members

    return build


def choose_all(members):
    chosen = {}
    for member in members:
        if member.role != 'entry':
            continue
        chooser = membership.SidecarChooser(member.name)
        names = {sidecar.name for sidecar in chooser.choose(members)}
        chosen[member.name] = names
    return chosen


class TestMemberTable:
    """Records of a member arrive in several ways and out of order.

    The record with the higher incarnation, then revision, must be kept.
    """

    @pytest.mark.parametrize(
        ('later', 'is_newer'),
        [
            ({'incarnation': 2, 'revision': 1}, True),
            ({'incarnation': 1, 'revision': 2}, True),
            ({'incarnation': 1, 'revision': 1}, False),
            ({'incarnation': 0, 'revision': 9}, False),
        ],
    )
    def test_newest_record_is_kept(self, build_member, later, is_newer):
        table = membership.MemberTable()
        table.merge(build_member('a'))
        assert table.merge(build_member('a', **later)) is is_newer

    def test_gone_member_returns_only_with_a_higher_incarnation(
        self, build_member
    ):
        table = membership.MemberTable()
        table.merge(build_member('a'))
        table.merge(build_member('a', revision=2, gone=True))
        assert table.get('a') is None
        assert not table.merge(build_member('a'))
        assert table.merge(build_member('a', incarnation=2))


class TestSidecarChooser:
    """Sessions must be few, spread over zones and stable.

    Otherwise their number grows with the fleet, or the loss of a zone leaves
    sidecars without entries.
    """

    def test_each_sidecar_has_entries_in_all_zones(self, build_fleet):
        members = build_fleet(40, 200)
        zones = {member.name: member.availability_zone for member in members}
        entries = collections.defaultdict(set)
        for entry, names in choose_all(members).items():
            for name in names:
                entries[name].add(zones[entry])
        assert len(entries) == 200
        assert all(len(found) == 4 for found in entries.values())

    def test_sessions_of_an_entry_stay_in_the_tens(self, build_fleet):
        sizes = [
            len(names) for names in choose_all(build_fleet(40, 200)).values()
        ]
        assert sum(sizes) == 200 * 4
        assert max(sizes) <= 2 * 20

    def test_small_fleet_connects_all_entries_and_sidecars(self, build_fleet):
        chosen = choose_all(build_fleet(3, 9))
        assert all(len(names) == 9 for names in chosen.values())

    def test_removal_of_an_entry_moves_few_sessions(self, build_fleet):
        members = build_fleet(40, 200)
        before = choose_all(members)
        after = choose_all(members[1:])
        moved = 0
        for entry, names in after.items():
            moved += len(names - before[entry])
        assert moved <= 2 * len(before['e-000'])

    def test_cached_choices_equal_those_of_a_new_chooser(self, build_fleet):
        members = build_fleet(40, 200)
        chooser = membership.SidecarChooser('e-007')
        chooser.choose(members)
        fewer = members[5:-3]
        new_chooser = membership.SidecarChooser('e-007')
        assert chooser.choose(fewer) == new_chooser.choose(fewer)


class TestEntryPeers:
    """Changes must reach all entries although each has few sessions."""

    def test_every_entry_is_reached_in_a_few_hops(self, build_fleet):
        entries = build_fleet(200, 0)
        neighbours = collections.defaultdict(set)
        for entry in entries:
            for name in membership.choose_entry_peers(entry.name, entries):
                neighbours[entry.name].add(name)
                neighbours[name].add(entry.name)
        reached, hops = {'e-000'}, 0
        while len(reached) < 200:
            hops += 1
            for name in list(reached):
                reached |= neighbours[name]
        assert hops <= 4
        assert max(len(names) for names in neighbours.values()) < 30
