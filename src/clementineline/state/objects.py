"""Objects of a platform's store, whatever its dialect."""

import msgspec

__all__ = ['ObjectPage', 'PlatformObject']


class PlatformObject(msgspec.Struct, frozen=True):
    """An object of the platform.

    :param kind: kind of the object
    :param name: name within the kind
    :param version: grows with each write
    :param value: the JSON value
    :param status: what the system says of it, on platforms that keep that
        apart from the value
    """

    kind: str
    name: str
    version: int
    value: dict
    status: dict | None = None


class ObjectPage(msgspec.Struct, frozen=True):
    """Objects of a kind that changed after a version.

    An object that cannot be read is left out.

    :param version: version to continue from
    :param objects: changed objects
    :param removed: names of removed objects
    """

    version: int
    objects: list[PlatformObject]
    removed: list[str]
