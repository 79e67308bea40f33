"""The roster of homes for idempotency keys, kept by the leader.

A sidecar leaves the roster only when it can grant no further claim: another
incarnation of it is known, it said that it leaves, or the platform lists its
VM no more. An earlier roster is dropped once the records granted under it
have expired and each of its homes is gone or knows the next one.
"""

import msgspec

from clementineline.coordination import rendezvous
from clementineline.state import configuration as configurations

__all__ = ['HOMES_MAX', 'RosterBuilder', 'choose_homes']

HOMES_MAX = 16
EARLIER_MAX = 16
HOMES_PER_KEY = 2


def choose_homes(key, homes):
    """Choose a key's homes, in two availability zones if there are.

    :param key: the idempotency key
    :param homes: list of :class:`configurations.Home`
    :returns: list of one or two homes, the primary first
    """
    by_name = {home.name: home for home in homes}
    zones = {home.name: home.availability_zone for home in homes}
    names = rendezvous.choose_spread(key, zones, HOMES_PER_KEY)
    return [by_name[name] for name in names]


class RosterBuilder:
    """Computes the next roster from what the leader knows.

    :param clock: a :class:`~clementineline.clocks.Clock`
    :param retain_s: how long key records are kept, in seconds
    """

    __slots__ = ('_clock', '_retain_s', '_seen')

    def __init__(self, clock, retain_s):
        self._clock = clock
        self._retain_s = retain_s
        self._seen = {}

    def build_next(self, current, members, vms, knows_version):
        """Build the next roster, or return None if it stays.

        :param current: the :class:`configurations.Roster`, or None
        :param members: members that are sidecars
        :param vms: names of listed VMs, or None if the list is unknown
        :param knows_version: function from a Home to whether it is gone or
            has adopted the current roster
        """
        old = current.homes if current else []
        homes = []
        for home in old:
            if self._is_settled(home, members, vms):
                continue
            homes.append(home)
        homes = _fill(homes, members, vms)
        earlier = list(current.earlier) if current else []
        version = current.version if current else 0
        kept = self._drop_expired(version, earlier, knows_version)
        changed = set(homes) != set(old)
        if changed and len(earlier) >= EARLIER_MAX:
            return None
        if not changed and len(kept) == len(earlier):
            return None
        if changed and old:
            kept.append(old)
        return configurations.Roster(
            version=version + 1, homes=homes, earlier=kept
        )

    def _is_settled(self, home, members, vms):
        """Return whether a home can grant no further claim."""
        if vms is not None and home.name not in vms:
            return True
        for member in members:
            if member.name != home.name:
                continue
            return member.leaving or member.incarnation > home.incarnation
        return False

    def _drop_expired(self, version, earlier, knows_version):
        now = self._clock.now()
        kept = []
        present = set()
        for homes in earlier:
            mark = msgspec.msgpack.encode(homes)
            present.add(mark)
            since = self._seen.setdefault(mark, now)
            if now - since > self._retain_s:
                if all(knows_version(home) for home in homes):
                    continue
            kept.append(homes)
        for mark in list(self._seen):
            if mark not in present:
                del self._seen[mark]
        return kept


def _fill(homes, members, vms):
    """Add homes up to the limit, evenly over availability zones."""
    homes = list(homes)
    names = {home.name for home in homes}
    candidates = {}
    for member in members:
        if member.leaving or member.name in names:
            continue
        if vms is not None and vms.get(member.name) != 'live':
            continue
        candidates[member.name] = member
    while candidates and len(homes) < HOMES_MAX:
        counts = {}
        for home in homes:
            zone = home.availability_zone
            counts[zone] = counts.get(zone, 0) + 1
        chosen = min(
            candidates.values(),
            key=lambda item: (
                counts.get(item.availability_zone, 0),
                item.name,
            ),
        )
        del candidates[chosen.name]
        homes.append(
            configurations.Home(
                chosen.name, chosen.incarnation, chosen.availability_zone
            )
        )
    return homes
