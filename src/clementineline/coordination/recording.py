"""Writing the results of open submissions to the ledger in chunks."""

import asyncio

import msgspec

from clementineline import errors
from clementineline.state import submissions

__all__ = ['ResultWriter', 'is_urgent']

# Results are batched into chunks for this long, unless they complete the
# groups that the trainer waits for. Trainers read about twice a second.
APPEND_INTERVAL_S = 0.45
APPEND_RETRY_DELAY_S = 0.2


def is_urgent(open_submission):
    """Return whether the finished results should be recorded at once.

    This is so if they complete the groups that the trainer waits for, or if
    no item is unfinished.

    :param open_submission: the :class:`~opensubmissions.OpenSubmission`
    """
    if not open_submission.finished:
        return False
    return (
        not open_submission.runs
        or open_submission.count_finished_groups()
        >= open_submission.submission.groups_wanted
    )


class ResultWriter:
    """Records results while the lease is held.

    Each submission has at most one create in flight, and the next chunk
    follows the last one known to be in the ledger. ``spec/ledger.py`` models
    this protocol.

    :param submission_ledger: the :class:`~ledger.Ledger`
    :param may_lead: function that returns whether the lease is held
    :param log: logger
    :ivar on_recorded: called with the number of results in each chunk that
        was recorded
    """

    __slots__ = ('_ledger', '_log', '_may_lead', 'on_recorded')

    def __init__(self, submission_ledger, may_lead, log):
        self._ledger = submission_ledger
        self._log = log
        self._may_lead = may_lead
        self.on_recorded = lambda count: None

    async def run(self, open_submission):
        """Record an open submission's results until it is complete.

        :param open_submission: the :class:`~opensubmissions.OpenSubmission`,
            loaded
        """
        if not open_submission.finished:
            await self.settle(open_submission)
        while not open_submission.complete:
            open_submission.append_due.clear()
            if not open_submission.finished:
                await open_submission.append_due.wait()
            if not is_urgent(open_submission):
                open_submission.append_due.clear()
                try:
                    async with asyncio.timeout(APPEND_INTERVAL_S):
                        await open_submission.append_due.wait()
                except TimeoutError:
                    pass
            if not open_submission.finished:
                continue
            if self._may_lead():
                await self._append_chunk(open_submission)
            else:
                await asyncio.sleep(APPEND_RETRY_DELAY_S)

    async def settle(self, open_submission):
        """Make sure that no create of unknown outcome adds results later.

        Creates an empty chunk, unless one of these creates takes its number
        first. Either one leaves the others without effect.

        :param open_submission: the :class:`~opensubmissions.OpenSubmission`,
            loaded
        """
        while open_submission.uncertain_chunk is not None:
            if not self._may_lead():
                await asyncio.sleep(APPEND_RETRY_DELAY_S)
                continue
            await self._create_chunk(open_submission, [])

    async def _append_chunk(self, open_submission):
        chosen = []
        size = 0
        for result in open_submission.finished.values():
            size += len(msgspec.json.encode(result))
            if chosen and size > self._ledger.part_bytes:
                break
            chosen.append(result)
        await self._create_chunk(open_submission, chosen)

    async def _create_chunk(self, open_submission, chosen):
        """Create the next chunk, or adopt the one that has its number.

        :param chosen: the results of the chunk
        """
        submission_id = open_submission.submission.id
        number = open_submission.chunk_count
        chunk = submissions.ResultChunk(
            len(open_submission.results), tuple(chosen)
        )
        was_certain = open_submission.uncertain_chunk is None
        # Until the create is acknowledged, and if it never is, others may read
        # the chunk from the ledger before this owner knows of it.
        open_submission.note_create(number)
        try:
            await self._ledger.append(submission_id, number, chunk)
        except errors.WriteConflict:
            await self._adopt_chunk(open_submission, number)
            return
        except errors.PlatformError as error:
            # An earlier create of this number may still be carried out.
            if was_certain and not isinstance(error, errors.AmbiguousWrite):
                open_submission.note_certainty()
            self._log.info(
                'results not recorded',
                submission=submission_id,
                chunk=number,
                results=len(chosen),
                certain=open_submission.uncertain_chunk is None,
                reason=str(error),
            )
            await asyncio.sleep(APPEND_RETRY_DELAY_S)
            return
        open_submission.add_chunk(number, chunk)
        if chosen:
            self.on_recorded(len(chosen))
        self._log.info(
            'results recorded' if chosen else 'earlier creates barred',
            submission=submission_id,
            chunk=number,
            results=len(chosen),
            listed=len(open_submission.results),
        )

    async def _adopt_chunk(self, open_submission, number):
        """Add a chunk that already existed when this owner tried to create it.

        Another owner wrote the chunk, or an earlier create was applied late.
        """
        try:
            chunk = await self._ledger.read_chunk(
                open_submission.submission.id, number
            )
        except errors.PlatformError as error:
            self._log.info('chunk not read', e=str(error))
            await asyncio.sleep(APPEND_RETRY_DELAY_S)
            return
        if chunk is not None:
            self._log.info(
                'chunk adopted',
                submission=open_submission.submission.id,
                chunk=number,
                results=len(chunk.results),
            )
            open_submission.add_chunk(number, chunk)
