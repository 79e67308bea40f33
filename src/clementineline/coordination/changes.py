"""Changes of the configuration through the platform's object API."""

import msgspec

from clementineline import errors
from clementineline.protocol import messages

__all__ = ['ConfigurationWriter', 'decode_document']

KIND = 'configuration'
NAME = 'current'
ATTEMPTS_MAX = 8
# The document keeps removed keys, with a null value, so that deltas can carry
# the removals.
REMOVED_KEYS_MAX = 1024


def encode_value(value):
    """Encode a JSON value for a :class:`messages.Change`."""
    return msgspec.Raw(msgspec.msgpack.encode(value))


def decode_document(document):
    """Convert the platform's configuration object to a complete delta.

    :param document: dict with ``version`` and ``keys``, a dict from key to
        ``[version, value]``
    :returns: a :class:`messages.ConfigurationDelta` from version 0
    """
    changes = []
    for key, (version, value) in document['keys'].items():
        changes.append(messages.Change(key, version, encode_value(value)))
    return messages.ConfigurationDelta(0, document['version'], changes)


class ConfigurationWriter:
    """Writes changes of the configuration, each as one new version.

    :param platform: a :class:`~platform.PlatformClient`
    :param configuration: the :class:`~configuration.Configuration` in force
    """

    __slots__ = ('_configuration', '_platform')

    def __init__(self, platform, configuration):
        self._platform = platform
        self._configuration = configuration

    async def change(self, build_changes):
        """Change the configuration, and retry if another writer interferes.

        :param build_changes: function from the current dict of
            ``key: [version, value]`` to a dict of new values; an empty dict
            changes nothing; it may raise to refuse the change
        :returns: the version in force after the change
        :raises errors.PlatformError: if the change failed or its outcome is
            unknown
        """
        for _ in range(ATTEMPTS_MAX):
            current = await self._platform.read(KIND, NAME)
            document = {'version': 0, 'keys': {}}
            if current is not None:
                document = current.value
            values = build_changes(document['keys'])
            if not values:
                self._configuration.adopt(decode_document(document))
                return document['version']
            document = _apply(document, values)
            expected = current.version if current else 0
            try:
                await self._platform.write(KIND, NAME, document, expected)
            except errors.WriteConflict:
                continue
            self._configuration.adopt(decode_document(document))
            return document['version']
        raise errors.PlatformError(
            f'configuration not changed: {ATTEMPTS_MAX} writers came between'
        )


def _apply(document, values):
    version = document['version'] + 1
    keys = dict(document['keys'])
    for key, value in values.items():
        keys[key] = [version, value]
    removed = [key for key, (_, value) in keys.items() if value is None]
    removed.sort(key=lambda key: keys[key][0])
    for key in removed[:-REMOVED_KEYS_MAX]:
        del keys[key]
    return dict(document, version=version, keys=keys)
