"""Cache and replication of the texts of unfinished items.

An item of a hundred events runs for seconds, so a new owner that restarted it
would be too late for its trainer. The owner replicates new events to other
keepers, and a new owner collects them from all keepers. Correctness does not
depend on it: an item whose text is lost is restarted.
"""

import asyncio
import collections

import msgspec

from clementineline import errors
from clementineline.protocol import asking
from clementineline.state import questions
from clementineline.transport import frames

__all__ = ['CachedText', 'TextCache', 'TextReplicator', 'answer_texts']

# Limits the cache to 20 MB at a few kilobytes for each text.
TEXTS_MAX = 4000
REPLICATION_INTERVAL_S = 0.4
# A partitioned or frozen keeper must not delay a new owner.
KEEPER_TIMEOUT_S = 0.4
# An answer from the same or another availability zone takes a few
# milliseconds.
LAST_KEEPER_WAIT_S = 0.1
# A keeper that did not answer is sent no messages for this long.
KEEPER_RETRY_DELAY_S = 3.0
COPIES_MAX = 2


class CachedText(msgspec.Struct):
    """The text of an item so far.

    :param run_id: id of the run that generated the last event
    :param events: data of the events, from the first on
    :param versions: versions that generated them, in order of first use
    :param whole: whether the text is complete
    """

    submission_id: str
    run_id: str
    events: list[str]
    versions: list[int]
    whole: bool = False


class TextCache:
    """Holds texts by item id and evicts the oldest beyond ``TEXTS_MAX``."""

    __slots__ = ('_texts',)

    def __init__(self):
        self._texts = collections.OrderedDict()

    def put(self, item_id, text):
        """Store a text unless a longer or complete one is cached.

        A longer text is replaced only by a complete one, and a complete text
        stays. A text of another submission is always replaced.
        """
        cached = self._texts.get(item_id)
        if cached is not None and cached.submission_id == text.submission_id:
            if cached.whole:
                return
            if not text.whole and len(cached.events) > len(text.events):
                return
        self._texts[item_id] = text
        self._texts.move_to_end(item_id)
        while len(self._texts) > TEXTS_MAX:
            self._texts.popitem(last=False)

    def extend(self, part):
        """Append a part to the cached text of its item.

        A part is only appended to events of the same run, since the events of
        two owners that ran the same item must not be mixed.

        :param part: a :class:`~questions.TextPart`
        """
        events = part.events
        if part.first:
            cached = self._texts.get(part.item_id)
            if cached is None or cached.run_id != part.run_id:
                return
            if part.first > len(cached.events):
                return
            events = [*cached.events[: part.first], *events]
        text = CachedText(
            part.submission_id,
            part.run_id,
            events,
            part.versions,
            part.whole,
        )
        self.put(part.item_id, text)

    def take(self, item_id):
        """Remove and return a text; None if none is cached."""
        return self._texts.pop(item_id, None)

    def list_recent(self, bytes_max):
        """Return the most recently stored texts, oldest first.

        :param bytes_max: limit of the total text size
        :returns: list of :class:`~questions.TextPart`
        """
        parts = []
        left = bytes_max
        for item_id, text in reversed(self._texts.items()):
            left -= sum(map(len, text.events))
            if left < 0:
                break
            parts.append(_build_part(item_id, text))
        parts.reverse()
        return parts

    def list_texts(self, submission_ids):
        """Return a dict from item id to text for some submissions."""
        wanted = set(submission_ids)
        found = {}
        for item_id, text in self._texts.items():
            if text.submission_id in wanted and text.events:
                found[item_id] = text
        return found


class TextReplicator:
    """Replicates texts to other keepers and collects them again.

    :param members: the :class:`~members.MemberRegistry`
    :param log: logger
    """

    __slots__ = ('_clients', '_log', '_members', '_retry_at', '_sent')

    def __init__(self, members, log):
        self._members = members
        self._log = log
        self._clients = {}
        self._retry_at = {}
        self._sent = {}

    async def run(self, list_runs):
        """Replicate new events at intervals until cancelled.

        :param list_runs: function that returns ``(submission id, run)`` for
            each unfinished item
        """
        while True:
            await asyncio.sleep(REPLICATION_INTERVAL_S)
            await self.send(list_runs())

    async def send(self, runs):
        """Send the events since the last call to other keepers.

        :param runs: ``(submission id, run)`` for each unfinished item
        """
        parts = self._collect(runs)
        if not parts:
            return
        sends = []
        for name in self._members.list_keepers()[:COPIES_MAX]:
            sends.append(self._ask(name, questions.KeepTexts(parts)))
        await asyncio.gather(*sends)

    def _collect(self, runs):
        """Return the events since the last call, as text parts.

        The events of a new run are returned from the first one on.
        """
        parts = []
        sent = {}
        for submission_id, run in runs:
            # A whole text is one event, so it has a place of its own.
            run_id = f'{run.run_id}/whole' if run.whole else run.run_id
            events = run.list_events()
            count = len(events)
            sent_run_id, first = self._sent.get(run.item.id, ('', 0))
            if sent_run_id != run_id:
                first = 0
            sent[run.item.id] = (run_id, count)
            if count <= first:
                continue
            parts.append(
                questions.TextPart(
                    submission_id,
                    run.item.id,
                    run.run_id,
                    first,
                    events[first:],
                    list(run.versions),
                    run.whole,
                )
            )
        self._sent = sent
        return parts

    async def gather(self, submission_ids, cache):
        """Collect the texts of some submissions from all keepers.

        :param cache: the :class:`TextCache` that they are added to
        """
        question = questions.ReadTexts(list(submission_ids))
        names = self._members.list_keepers()
        answers = await self._ask_keepers(names, question)
        count = 0
        for answer in answers:
            for part in answer.parts:
                cache.extend(part)
                count += 1
        self._log.info('texts gathered', members=len(names), texts=count)

    async def _ask_keepers(self, names, question):
        """Return the answers of keepers, with a short wait for the last one.

        Each text is stored by two keepers, so a single unreachable one, most
        often the previous owner, hides no text.
        """
        pending = {
            asyncio.create_task(self._ask(name, question)) for name in names
        }
        answers = []
        while pending:
            wait_s = None
            if len(pending) == 1 and answers:
                wait_s = LAST_KEEPER_WAIT_S
            done, pending = await asyncio.wait(
                pending,
                timeout=wait_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                break
            for task in done:
                answer = task.result()
                if isinstance(answer, questions.TextsAnswer):
                    answers.append(answer)
        for task in pending:
            task.cancel()
        return answers

    async def _ask(self, name, question):
        """Return a keeper's answer, or None if it is late or unreachable."""
        now = asyncio.get_running_loop().time()
        if now < self._retry_at.get(name, 0.0):
            return None
        client = self._clients.get(name)
        if client is None:
            address = self._members.addresses.get(name)
            if address is None:
                return None
            client = asking.QuestionClient(
                frames.parse_address(address), questions.Answer
            )
            self._clients[name] = client
        try:
            async with asyncio.timeout(KEEPER_TIMEOUT_S):
                return await client.ask(question, KEEPER_TIMEOUT_S)
        except (errors.ProtocolError, TimeoutError) as error:
            self._log.info(
                'keeper did not answer', member=name, reason=repr(error)
            )
            self._clients.pop(name, None)
            self._retry_at[name] = now + KEEPER_RETRY_DELAY_S
            client.close()
            return None


def answer_texts(cache, question):
    """Store or return replicated texts for another keeper.

    :param cache: the :class:`TextCache` of this keeper
    :param question: a :class:`~questions.KeepTexts` or
        :class:`~questions.ReadTexts`
    :returns: a :class:`~questions.TextsAnswer`
    """
    if isinstance(question, questions.KeepTexts):
        for part in question.parts:
            cache.extend(part)
        return questions.TextsAnswer([])
    parts = []
    for item_id, text in cache.list_texts(question.submission_ids).items():
        parts.append(_build_part(item_id, text))
    return questions.TextsAnswer(parts)


def _build_part(item_id, text):
    return questions.TextPart(
        text.submission_id,
        item_id,
        text.run_id,
        0,
        text.events,
        text.versions,
        text.whole,
    )
