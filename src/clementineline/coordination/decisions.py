"""Log of routing and placement decisions, with the latest kept in memory."""

import collections
import json

__all__ = ['DecisionLog']


class DecisionLog:
    """Writes a log line for each decision and keeps the latest decisions.

    :param log: structlog logger
    :param kept: maximum number of decisions kept in memory
    :param get_configuration_version: function that returns the
        configuration version in force
    """

    __slots__ = ('_get_version', '_log', '_ring', 'counts')

    def __init__(self, log, kept, get_configuration_version):
        self._log = log
        self._ring = collections.deque(maxlen=kept)
        self._get_version = get_configuration_version
        self.counts = collections.Counter()

    def record(self, decision, id, **details):
        """Log a decision and keep it in memory.

        :param decision: kind of the decision, such as ``route``
        :param id: id of the request, sample, step or plan
        :param details: candidates, scores, choice and reason
        """
        version = self._get_version()
        entry = (decision, id, version, details)
        self._ring.append(entry)
        self.counts[decision] += 1
        self._log.info(
            'decision',
            decision=decision,
            id=id,
            configuration=version,
            **details,
        )

    def explain(self, id):
        """Return the kept decisions about an id as JSON lines.

        :param id: id of a request, sample, step or plan; decisions about
            its attempts and samples are found as well
        """
        lines = []
        for decision, subject, version, details in self._ring:
            if subject != id and not subject.startswith((id + '/', id + '.')):
                continue
            line = {'decision': decision, 'id': subject}
            line['configuration'] = version
            line.update(details)
            lines.append(json.dumps(line, default=str))
        return lines

    def get_recent(self, decisions, count):
        """Return the latest decisions of some kinds as dicts, newest last.

        :param decisions: kinds of decisions to return
        :param count: maximum number of decisions
        """
        found = []
        for decision, subject, version, details in reversed(self._ring):
            if decision not in decisions:
                continue
            found.append(
                {
                    'decision': decision,
                    'id': subject,
                    'configuration': version,
                    **details,
                }
            )
            if len(found) >= count:
                break
        return found[::-1]
