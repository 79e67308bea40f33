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

__all__ = [
    'CachedText',
    'TextCache',
    'TextReplicator',
    'answer_texts',
    'choose_holders',
]

# The texts of two steps of three trainers, 600 items, take some 6 MB.
TEXTS_MAX = 4000
TEXTS_BYTES_MAX = 20 * 1024 * 1024
REPLICATION_INTERVAL_S = 0.4
# A partitioned or frozen keeper must not delay a new owner.
KEEPER_TIMEOUT_S = 0.4
# An answer from the same or another availability zone takes a few
# milliseconds.
LAST_KEEPER_WAIT_S = 0.1
# A keeper that did not answer is sent no messages for this long.
KEEPER_RETRY_DELAY_S = 3.0
# Copies at other keepers, besides the owner's own. Two disks may be lost when
# all processes lose power.
COPIES_MAX = 2
# A keeper that becomes a holder gets all texts, which may be megabytes.
MESSAGE_BYTES_MAX = 512 * 1024


class CachedText(msgspec.Struct):
    """The text of an item so far.

    :param run_id: id of the run that generated the last event
    :param events: data of the events, from the first on
    :param versions: versions that generated them, in order of first use
    :param whole: whether the text is complete
    :param organisation: that of the submission
    """

    submission_id: str
    run_id: str
    events: list[str]
    versions: list[int]
    whole: bool = False
    organisation: str | None = None


def _count_bytes(text):
    return sum(map(len, text.events))


class TextCache:
    """Holds texts by item id and evicts the oldest.

    Items of different organisations may have the same id, and their texts are
    held apart.

    It holds at most ``TEXTS_MAX`` texts of ``TEXTS_BYTES_MAX`` in total.
    """

    __slots__ = ('_bytes', '_texts')

    def __init__(self):
        self._bytes = 0
        # By the organisation and the id of the item.
        self._texts = collections.OrderedDict()

    def put(self, item_id, text):
        """Store a text unless a longer or complete one is cached.

        A longer text is replaced only by a complete one, and a complete text
        stays. A text of another submission is always replaced.
        """
        cached = self._texts.get((text.organisation, item_id))
        if cached is not None and cached.submission_id == text.submission_id:
            if cached.whole:
                return
            if not text.whole and len(cached.events) > len(text.events):
                return
        self.take(item_id, text.organisation)
        self._texts[text.organisation, item_id] = text
        self._bytes += _count_bytes(text)
        while len(self._texts) > TEXTS_MAX or self._bytes > TEXTS_BYTES_MAX:
            organisation, oldest_id = next(iter(self._texts))
            self.take(oldest_id, organisation)

    def extend(self, part):
        """Append a part to the cached text of its item.

        A part is only appended to events of the same run, since the events of
        two owners that ran the same item must not be mixed.

        :param part: a :class:`~questions.TextPart`
        """
        events = part.events
        if part.first:
            cached = self._texts.get((part.organisation, part.item_id))
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
            part.organisation,
        )
        self.put(part.item_id, text)

    def take(self, item_id, organisation=None):
        """Remove and return a text; None if none is cached.

        :param organisation: that of the submission
        """
        text = self._texts.pop((organisation, item_id), None)
        if text is not None:
            self._bytes -= _count_bytes(text)
        return text

    def list_recent(self, bytes_max):
        """Return the most recently stored texts, oldest first.

        :param bytes_max: limit of the total text size
        :returns: list of :class:`~questions.TextPart`
        """
        parts = []
        left = bytes_max
        for (_, item_id), text in reversed(self._texts.items()):
            left -= sum(map(len, text.events))
            if left < 0:
                break
            parts.append(_build_part(item_id, text))
        parts.reverse()
        return parts

    def list_texts(self, submission_ids):
        """Return pairs of an item id and its text for some submissions."""
        wanted = set(submission_ids)
        found = []
        for (_, item_id), text in self._texts.items():
            if text.submission_id in wanted and text.events:
                found.append((item_id, text))
        return found


def choose_holders(candidates, zones, own_zone, current):
    """Choose the keepers that hold copies of the texts.

    Holders stay, since a new one needs all texts. New ones are in zones
    without a holder, as far as there are any.

    :param candidates: names of the other keepers that answer
    :param zones: dict from name to availability zone
    :param own_zone: availability zone of this process
    :param current: names of the holders so far
    :returns: list of at most ``COPIES_MAX`` names
    """
    holders = [name for name in current if name in candidates]
    used = {own_zone, *(zones.get(name) for name in holders)}
    rest = [name for name in sorted(candidates) if name not in holders]
    for in_new_zone in (True, False):
        for name in list(rest):
            if len(holders) >= COPIES_MAX:
                return holders
            if in_new_zone and zones.get(name) in used:
                continue
            holders.append(name)
            rest.remove(name)
            used.add(zones.get(name))
    return holders


class TextReplicator:
    """Replicates texts to other keepers and collects them again.

    :param members: the :class:`~members.MemberRegistry`
    :param log: logger
    :param zone: availability zone of this process
    :param keep_own: called with new parts, a list of
        :class:`~questions.TextPart`, to keep this process's own copy
    """

    __slots__ = (
        '_clients',
        '_holders',
        '_keep_own',
        '_log',
        '_members',
        '_own_sent',
        '_retry_at',
        '_sent',
        '_zone',
    )

    def __init__(self, members, log, zone='', keep_own=lambda parts: None):
        self._members = members
        self._log = log
        self._zone = zone
        self._keep_own = keep_own
        self._clients = {}
        self._retry_at = {}
        self._holders = []
        # What each holder has, and what this process has kept itself: by the
        # ids of submission and item, the run and the number of its events.
        self._sent = {}
        self._own_sent = {}

    async def run(self, list_runs):
        """Replicate new events at intervals until cancelled.

        :param list_runs: function that returns ``(submission id, run)`` for
            each unfinished item
        """
        while True:
            await asyncio.sleep(REPLICATION_INTERVAL_S)
            await self.send(list_runs())

    async def send(self, runs):
        """Keep the new events here and send them to other keepers.

        :param runs: ``(submission id, run)`` for each unfinished item
        """
        parts, self._own_sent = self._collect(runs, self._own_sent)
        self._keep_own(parts)
        self._update_holders()
        await asyncio.gather(
            *(self._send_to(name, runs) for name in self._holders)
        )

    def _update_holders(self):
        now = asyncio.get_running_loop().time()
        candidates = []
        for name in self._members.list_keepers():
            if now >= self._retry_at.get(name, 0.0):
                candidates.append(name)
        holders = choose_holders(
            candidates, self._members.zones, self._zone, self._holders
        )
        if holders == self._holders:
            return
        self._log.info('text holders', holders=holders, before=self._holders)
        for name in self._holders:
            if name not in holders:
                self._sent.pop(name, None)
        self._holders = holders

    async def _send_to(self, name, runs):
        """Send a holder the events that it lacks."""
        parts, sent = self._collect(runs, self._sent.get(name, {}))
        for message in _split_parts(parts):
            answer = await self._ask(name, questions.KeepTexts(message))
            if not isinstance(answer, questions.TextsAnswer):
                # It may lack some events, so it gets all when it answers.
                self._sent.pop(name, None)
                return
        self._sent[name] = sent

    def _collect(self, runs, sent_before):
        """Return the events that a holder lacks, as text parts.

        The events of a new run are returned from the first one on.

        :param sent_before: what the holder has, as in ``_sent``
        :returns: ``(parts, sent)``: the parts, and what it has with them
        """
        parts = []
        sent = {}
        for submission_id, run in runs:
            # A whole text is one event, so it has a place of its own.
            run_id = f'{run.run_id}/whole' if run.whole else run.run_id
            events = run.list_events()
            count = len(events)
            key = (submission_id, run.item.id)
            sent_run_id, first = sent_before.get(key, ('', 0))
            if sent_run_id != run_id:
                first = 0
            sent[key] = (run_id, count)
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
                    run.organisation,
                )
            )
        return parts, sent

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


def _split_parts(parts):
    """Split parts into lists of about ``MESSAGE_BYTES_MAX`` each."""
    messages = []
    size = MESSAGE_BYTES_MAX
    for part in parts:
        if size >= MESSAGE_BYTES_MAX:
            messages.append([])
            size = 0
        messages[-1].append(part)
        size += sum(map(len, part.events))
    return messages


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
    for item_id, text in cache.list_texts(question.submission_ids):
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
        text.organisation,
    )
