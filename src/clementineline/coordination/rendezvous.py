"""Rendezvous hashing and deterministic subsets over availability zones."""

import math

import xxhash

__all__ = ['choose_across_zones', 'count_entries_per_sidecar', 'rank', 'score']

ENTRIES_PER_SIDECAR_MIN = 4
ENTRIES_PER_SIDECAR_MAX = 64
SIDECARS_PER_ENTRY_MIN = 4


def score(key, name):
    """Return the rendezvous score of a name for a key."""
    return xxhash.xxh3_64_intdigest(f'{key}\x00{name}'.encode())


def rank(key, names):
    """Sort names by descending score for a key.

    :param key: key to place
    :param names: candidates
    :returns: list of names, highest score first
    """
    return sorted(names, key=lambda name: (-score(key, name), name))


def choose_across_zones(key, zones_by_name, count):
    """Choose the highest-scoring names, spread over availability zones.

    :param key: key to place
    :param zones_by_name: dict from name to availability zone
    :param count: how many names to choose
    :returns: list of names; a zone contributes its next name only after
        every other zone has contributed as many or has none left
    """
    ranked = rank(key, zones_by_name)
    chosen = []
    remaining = ranked
    while remaining and len(chosen) < count:
        used_zones = set()
        skipped = []
        for name in remaining:
            zone = zones_by_name[name]
            if zone in used_zones or len(chosen) >= count:
                skipped.append(name)
                continue
            used_zones.add(zone)
            chosen.append(name)
        remaining = skipped
    return chosen


def count_entries_per_sidecar(entries, sidecars):
    """Return how many entries keep a session with one sidecar.

    :param entries: number of entries
    :param sidecars: number of sidecars that serve the same model or service
    :returns: number of entries, large enough that each entry has sessions
        with several sidecars of each model or service
    """
    wanted = math.ceil(SIDECARS_PER_ENTRY_MIN * entries / max(sidecars, 1))
    wanted = max(wanted, ENTRIES_PER_SIDECAR_MIN)
    return min(wanted, ENTRIES_PER_SIDECAR_MAX)
