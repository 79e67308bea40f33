"""Objects of a platform's store, independent of the platform's dialect."""

import msgspec

__all__ = ['ObjectPage', 'PlatformObject']


class PlatformObject(msgspec.Struct, frozen=True):
    """An object of a platform's store.

    :param kind: kind of the object
    :param name: name within the kind
    :param version: version of the object, higher after each write
    :param value: the JSON value
    :param status: status that the service reports, on platforms that store
        the status separately from the value
    :param fault: why the value could not be read and is empty; '' if it was
    """

    kind: str
    name: str
    version: int
    value: dict
    status: dict | None = None
    fault: str = ''


class ObjectPage(msgspec.Struct, frozen=True):
    """Objects of a kind that changed after a version.

    Objects that cannot be decoded are left out.

    :param version: version from which to continue
    :param objects: changed objects
    :param removed: names of removed objects
    """

    version: int
    objects: list[PlatformObject]
    removed: list[str]
