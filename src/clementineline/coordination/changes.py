"""Changing the configuration through the platform's object API."""

import msgspec

from clementineline import errors
from clementineline.protocol import messages

__all__ = ['ConfigurationWriter', 'decode_document']

KIND = 'configuration'
NAME = 'current'
TRIES_MAX = 8
# Removed keys stay in the document so that a difference can carry them.
REMOVALS_KEPT = 1024


def encode_value(value):
    """Encode a JSON value as a Change carries it."""
    return msgspec.Raw(msgspec.msgpack.encode(value))


def decode_document(document):
    """Turn the platform's configuration object into a whole delta.

    :param document: dict with ``version`` and ``keys``, a dict from key to
        ``[version, value]``
    :returns: a :class:`messages.ConfigurationDelta` from version 0
    """
    changes = []
    for key, (version, value) in document['keys'].items():
        changes.append(messages.Change(key, version, encode_value(value)))
    return messages.ConfigurationDelta(0, document['version'], changes)


class ConfigurationWriter:
    """Writes changes of the configuration, one version each.

    :param platform: a :class:`~platform.PlatformClient`
    :param configuration: the :class:`~configuration.Configuration` in force
    """

    __slots__ = ('_configuration', '_platform')

    def __init__(self, platform, configuration):
        self._platform = platform
        self._configuration = configuration

    async def change(self, build_changes):
        """Change the configuration, again if another writer came between.

        :param build_changes: function from the current dict of
            ``key: [version, value]`` to a dict of new values; an empty dict
            changes nothing; it may raise to refuse
        :returns: the version in force after the change
        :raises errors.PlatformError: if it stays unknown or undone
        """
        for _ in range(TRIES_MAX):
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
            f'configuration not changed: {TRIES_MAX} writers came between'
        )


def _apply(document, values):
    version = document['version'] + 1
    keys = dict(document['keys'])
    for key, value in values.items():
        keys[key] = [version, value]
    removed = [key for key, (_, value) in keys.items() if value is None]
    removed.sort(key=lambda key: keys[key][0])
    for key in removed[:-REMOVALS_KEPT]:
        del keys[key]
    return dict(document, version=version, keys=keys)
