"""The route table in force in a process.

A table is replaced only by one with a higher version.
"""

from clementineline import errors

__all__ = ['ActiveRouteTable']


class ActiveRouteTable:
    """Holds the route table with the highest version seen so far.

    :param dialect: the platform's dialect
    :param log: logger
    """

    __slots__ = ('_dialect', '_log', 'table')

    def __init__(self, dialect, log):
        self._dialect = dialect
        self._log = log
        self.table = None

    def apply(self, objects):
        """Adopt the newest route table among objects, if it is newer.

        :returns: whether the table in force changed
        """
        changed = False
        for found in objects:
            if found.name != self._dialect.kinds.routes_name:
                continue
            try:
                table = self._dialect.decode_routes(found.value)
            except errors.PlatformError as error:
                self._log.error('route table refused', reason=str(error))
                continue
            if self.table is not None and table.version <= self.table.version:
                continue
            self.table = table
            changed = True
            self._log.info(
                'route table adopted',
                version=table.version,
                routes=len(table.routes),
            )
        return changed
