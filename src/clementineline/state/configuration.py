"""The versioned configuration and the types of its values.

The configuration maps keys to values. Each key is stamped with the
configuration version that last changed it, so the delta from an older version
consists of the keys with a newer stamp. A process never adopts a version that
is older than its own.
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

# RFC 9110, section 9.2.2.
IDEMPOTENT_METHODS = ('GET', 'HEAD', 'OPTIONS', 'TRACE', 'PUT', 'DELETE')
# The value of a removed key: nil in msgpack.
REMOVED = msgspec.Raw(b'\xc0')
# Only the latest removals are kept. A process that is further behind gets the
# whole configuration instead of a delta.
REMOVALS_KEPT = 1024


class _Value(
    msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True
):
    """Base of all configuration values."""


class TrainerConfig(_Value):
    """Configuration of a trainer.

    :param model: model that it trains
    :param weight: its share of the engines, relative to other trainers
    :param priority: at equal shares, the trainer with the higher priority
        goes first
    :param staleness_bound_versions: how many versions the oldest weights of
        a sample may be behind the trainer's own
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
    """Configuration of a model that engines serve.

    :param idempotent: whether a generation may run more than once
    """

    idempotent: bool = True


class ServiceConfig(_Value):
    """Configuration of a plain service.

    :param idempotent_methods: methods whose calls may run more than once
    :param hedge: whether slow idempotent calls may be hedged
    """

    idempotent_methods: tuple[str, ...] = IDEMPOTENT_METHODS
    hedge: bool = True


class EndpointConfig(_Value):
    """An operator's configuration of one endpoint.

    :param drain: whether the endpoint gets no new work
    """

    drain: bool = False


class WeightsTarget(_Value):
    """The weights version that a model's endpoints must run.

    :param version: weights version
    :param announced_by: trainer that announced it
    """

    version: int
    announced_by: str


class Home(msgspec.Struct, frozen=True, array_like=True):
    """A sidecar that keeps records of idempotency keys.

    :param name: name of the sidecar
    :param incarnation: incarnation of the sidecar that holds the records; a
        restarted one has lost them
    :param availability_zone: availability zone of the sidecar
    """

    name: str
    incarnation: int
    availability_zone: str


class Roster(_Value):
    """The sidecars that keep the records of idempotency keys.

    :param version: number of the roster, higher than that of earlier ones
    :param homes: the homes in force
    :param earlier: the homes of each earlier roster whose records may still
        be valid
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
    :raises errors.IntentError: if the section is unknown or the value does
        not match its type
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

    :ivar listeners: functions that are called with the set of changed keys
        after each adopted delta
    :ivar min_delta_base: oldest version from which a delta can be built
    """

    __slots__ = (
        '_changes',
        '_values',
        'listeners',
        'min_delta_base',
        'version',
    )

    def __init__(self):
        self._changes = {}
        self._values = {}
        self.min_delta_base = 0
        self.listeners = []
        self.version = 0

    def get(self, key):
        """Return the typed value of a key, or None."""
        return self._values.get(key)

    def check_ready(self):
        """Check that a configuration has been adopted.

        Before that, a missing key does not mean that its name is unknown.

        :raises errors.NotReady: if none has been adopted
        """
        if not self.version:
            raise errors.NotReady(
                'this process has just started and has no configuration yet'
            )

    def get_stamp(self, key):
        """Return the version that last changed a key; 0 if there is none."""
        change = self._changes.get(key)
        return change.version if change else 0

    def find(self, section):
        """Return the values of one section as a dict by name."""
        prefix = section + '/'
        found = {}
        for key, value in self._values.items():
            if key.startswith(prefix):
                found[key[len(prefix) :]] = value
        return found

    def get_changes(self):
        """Return all changes, including removals."""
        return list(self._changes.values())

    def build_delta(self, since):
        """Return the changes after a version.

        If removals since that version were forgotten, all changes are
        returned.

        :param since: version that the receiver has adopted
        :returns: a :class:`messages.ConfigurationDelta`
        """
        if since < self.min_delta_base:
            since = 0
        changes = []
        for change in self._changes.values():
            if change.version > since:
                changes.append(change)
        return messages.ConfigurationDelta(since, self.version, changes)

    def adopt(self, delta):
        """Adopt a delta if it is newer and leaves no gap.

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
            # A delta from an older version would lack this removal.
            self.min_delta_base = delta.version

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
            self.min_delta_base = max(self.min_delta_base, change.version)
