"""The versioned configuration and the views on its keys.

The configuration is a map of keys, each stamped with the configuration
version that last changed it. So the difference between any two versions is
the keys with a younger stamp, and a process never goes back.
"""

import msgspec

from clementineline import errors
from clementineline.protocol import messages

__all__ = [
    'Configuration',
    'EndpointConfig',
    'Home',
    'ModelConfig',
    'OPERATOR_SECTIONS',
    'Roster',
    'ServiceConfig',
    'TrainerConfig',
    'WeightsTarget',
    'decode_value',
]

# As in RFC 9110, section 9.2.2.
IDEMPOTENT_METHODS = ('GET', 'HEAD', 'OPTIONS', 'TRACE', 'PUT', 'DELETE')
REMOVED = msgspec.Raw(b'\xc0')
# Older removals than this many are forgotten; who lags further behind gets
# the whole configuration instead of a difference.
REMOVALS_KEPT = 1024


class _Value(
    msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True
):
    """Base of all configuration values."""


class TrainerConfig(_Value):
    """A trainer that draws samples.

    :param model: model that it trains
    :param weight: its share of the engines beside other trainers
    :param priority: larger goes first at equal shares
    :param staleness_bound_versions: most versions between a sample's
        oldest weights and the trainer's own
    :param endpoints: sidecars that may serve it; empty for all
    """

    model: str
    weight: float = 1.0
    priority: int = 0
    staleness_bound_versions: int = 1
    endpoints: list[str] = []

    def __post_init__(self):
        if self.weight <= 0:
            raise ValueError(f'weight: got {self.weight}, expected above 0')
        if self.staleness_bound_versions < 0:
            raise ValueError(
                'staleness_bound_versions: got '
                f'{self.staleness_bound_versions}, expected 0 or more'
            )


class ModelConfig(_Value):
    """A model that engines serve.

    :param idempotent: whether a generation may be repeated
    """

    idempotent: bool = True


class ServiceConfig(_Value):
    """A plain service.

    :param idempotent_methods: methods whose calls may be repeated
    :param hedge: whether late idempotent calls may be doubled
    """

    idempotent_methods: tuple[str, ...] = IDEMPOTENT_METHODS
    hedge: bool = True


class EndpointConfig(_Value):
    """An operator's word on one endpoint.

    :param drain: give it no new work
    """

    drain: bool = False


class WeightsTarget(_Value):
    """The weight version that a model's endpoints shall run.

    :param version: weight version
    :param announced_by: trainer that announced it
    """

    version: int
    announced_by: str


class Home(msgspec.Struct, frozen=True, array_like=True):
    """A sidecar that keeps key records.

    :param name: name of the sidecar
    :param incarnation: the start of it that holds the records
    :param availability_zone: where it runs
    """

    name: str
    incarnation: int
    availability_zone: str


class Roster(_Value):
    """The sidecars that keep the records of idempotency keys.

    :param version: counts the rosters
    :param homes: the homes now
    :param earlier: earlier rosters whose records may still count, each as
        its homes
    """

    version: int
    homes: list[Home]
    earlier: list[list[Home]] = []


_TYPES = {
    'trainer': TrainerConfig,
    'model': ModelConfig,
    'service': ServiceConfig,
    'endpoint': EndpointConfig,
    'weights': WeightsTarget,
    'roster': Roster,
}
OPERATOR_SECTIONS = ('trainer', 'model', 'service', 'endpoint')


def decode_value(key, data):
    """Decode the value of a key.

    :param key: such as ``trainer/NAME``
    :param data: msgpack bytes
    :returns: the typed value
    :raises errors.ClementinelineError: if the value does not fit the key
    """
    section = key.partition('/')[0]
    try:
        return msgspec.msgpack.decode(data, type=_TYPES[section])
    except KeyError:
        raise errors.IntentError(
            f'{key}: unknown section {section!r}, expected one of '
            f'{", ".join(sorted(_TYPES))}'
        ) from None
    except msgspec.DecodeError as error:
        raise errors.IntentError(f'{key}: {error}') from None


class Configuration:
    """The configuration in force in this process.

    :param listeners: functions called after each adopted change with the
        set of changed keys
    """

    __slots__ = ('_changes', '_values', 'floor', 'listeners', 'version')

    def __init__(self):
        self._changes = {}
        self._values = {}
        self.floor = 0
        self.listeners = []
        self.version = 0

    def get(self, key):
        """Return the typed value of a key, or None."""
        return self._values.get(key)

    def check_ready(self):
        """Check that any configuration was adopted.

        :raises errors.NotReady: if none was, so that nothing can be said to
            be unknown
        """
        if not self.version:
            raise errors.NotReady(
                'this process has just started and has no configuration yet'
            )

    def get_stamp(self, key):
        """Return the version that last changed a key; 0 for never."""
        change = self._changes.get(key)
        return change.version if change else 0

    def find(self, section):
        """Return a dict from name to value of one section."""
        prefix = section + '/'
        found = {}
        for key, value in self._values.items():
            if key.startswith(prefix):
                found[key[len(prefix) :]] = value
        return found

    def get_changes(self):
        """Return all changes, removals included."""
        return list(self._changes.values())

    def build_delta(self, since):
        """Return the changes after a version.

        :param since: version that the receiver has in force
        :returns: a :class:`messages.ConfigurationDelta`
        """
        if since < self.floor:
            since = 0
        changes = []
        for change in self._changes.values():
            if change.version > since:
                changes.append(change)
        return messages.ConfigurationDelta(since, self.version, changes)

    def adopt(self, delta):
        """Adopt a delta if it leads further; never go back.

        :param delta: a :class:`messages.ConfigurationDelta`
        :returns: whether anything was adopted
        """
        if delta.version <= self.version or delta.since > self.version:
            return False
        if delta.since == 0:
            self._drop_absent(delta)
        changed = set()
        for change in delta.changes:
            if change.version <= self.get_stamp(change.key):
                continue
            self._set(change)
            changed.add(change.key)
        self.version = delta.version
        self._forget_removals()
        for listener in self.listeners:
            listener(changed)
        return True

    def _drop_absent(self, delta):
        present = {change.key for change in delta.changes}
        for key in list(self._changes):
            if key in present:
                continue
            del self._changes[key]
            self._values.pop(key, None)
            # A difference from here on could not carry this removal.
            self.floor = delta.version

    def _set(self, change):
        self._changes[change.key] = change
        if bytes(change.value) == bytes(REMOVED):
            self._values.pop(change.key, None)
            return
        self._values[change.key] = decode_value(change.key, change.value)

    def _forget_removals(self):
        removals = []
        for change in self._changes.values():
            if change.key not in self._values:
                removals.append(change)
        if len(removals) <= REMOVALS_KEPT:
            return
        removals.sort(key=lambda change: change.version)
        for change in removals[:-REMOVALS_KEPT]:
            del self._changes[change.key]
            self.floor = max(self.floor, change.version)
