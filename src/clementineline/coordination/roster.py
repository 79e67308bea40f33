"""The roster of homes for idempotency keys, maintained by the leader.

A sidecar is removed from the roster only when it can grant no further claims:
a later incarnation of it is known, it has announced that it leaves, or the
platform no longer lists its VM. An earlier roster is dropped once the records
granted under it have expired and each of its homes is gone or has adopted the
current roster.
"""

import msgspec

from clementineline.coordination import rendezvous
from clementineline.state import configuration as configurations

__all__ = ['HOMES_MAX', 'RosterBuilder', 'choose_homes']

HOMES_MAX = 16
# While this many earlier rosters are kept, the homes do not change.
EARLIER_ROSTERS_MAX = 16
HOMES_PER_KEY = 2


def choose_homes(key, homes):
    """Choose a key's homes, in two availability zones if possible.

    :param key: the idempotency key
    :param homes: list of :class:`~configuration.Home`
    :returns: list of one or two homes, the primary first
    """
    by_name = {home.name: home for home in homes}
    zones = {home.name: home.availability_zone for home in homes}
    names = rendezvous.choose_across_zones(key, zones, HOMES_PER_KEY)
    return [by_name[name] for name in names]


class RosterBuilder:
    """Builds the next roster from the members and VMs that are known.

    :param clock: a :class:`~clementineline.clocks.Clock`
    :param retain_s: how long key records are kept, in seconds
    """

    __slots__ = ('_clock', '_first_seen', '_retain_s')

    def __init__(self, clock, retain_s):
        self._clock = clock
        self._retain_s = retain_s
        self._first_seen = {}

    def build_next(self, current, members, vms, has_adopted):
        """Build the next roster.

        :param current: the :class:`~configuration.Roster`, or None
        :param members: members that are sidecars
        :param vms: dict from name to state of the listed VMs, or None if the
            list is unknown
        :param has_adopted: function that returns whether a Home is gone or
            has adopted the current roster
        :returns: a :class:`~configuration.Roster`, or None if nothing changes
            or if the homes change while ``EARLIER_ROSTERS_MAX`` earlier
            rosters are kept
        """
        old = current.homes if current else []
        homes = []
        for home in old:
            if self._grants_no_claims(home, members, vms):
                continue
            homes.append(home)
        homes = _add_homes(homes, members, vms)
        earlier = list(current.earlier) if current else []
        version = current.version if current else 0
        kept = self._drop_expired(version, earlier, has_adopted)
        changed = set(homes) != set(old)
        if changed and len(earlier) >= EARLIER_ROSTERS_MAX:
            return None
        if not changed and len(kept) == len(earlier):
            return None
        if changed and old:
            kept.append(old)
        return configurations.Roster(
            version=version + 1, homes=homes, earlier=kept
        )

    def _grants_no_claims(self, home, members, vms):
        """Return whether a home can grant no further claims."""
        if vms is not None and home.name not in vms:
            return True
        for member in members:
            if member.name != home.name:
                continue
            return member.leaving or member.incarnation > home.incarnation
        return False

    def _drop_expired(self, version, earlier, has_adopted):
        """Return the earlier rosters that are still needed."""
        now = self._clock.now()
        kept = []
        present = set()
        for homes in earlier:
            encoded = msgspec.msgpack.encode(homes)
            present.add(encoded)
            since = self._first_seen.setdefault(encoded, now)
            if now - since > self._retain_s:
                if all(has_adopted(home) for home in homes):
                    continue
            kept.append(homes)
        for encoded in list(self._first_seen):
            if encoded not in present:
                del self._first_seen[encoded]
        return kept


def _add_homes(homes, members, vms):
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
            key=lambda candidate: (
                counts.get(candidate.availability_zone, 0),
                candidate.name,
            ),
        )
        del candidates[chosen.name]
        homes.append(
            configurations.Home(
                chosen.name, chosen.incarnation, chosen.availability_zone
            )
        )
    return homes
