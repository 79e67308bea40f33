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
        """Record an open submission's results until it is complete."""
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

    async def _append_chunk(self, open_submission):
        submission_id = open_submission.submission.id
        chosen = []
        size = 0
        for result in open_submission.finished.values():
            size += len(msgspec.json.encode(result))
            if chosen and size > self._ledger.part_bytes:
                break
            chosen.append(result)
        number = open_submission.chunk_count
        chunk = submissions.ResultChunk(
            len(open_submission.results), tuple(chosen)
        )
        # Until the create is acknowledged, and if it never is, others may read
        # the chunk from the ledger before this owner knows of it.
        open_submission.unconfirmed_since = asyncio.get_running_loop().time()
        try:
            await self._ledger.append(submission_id, number, chunk)
        except errors.WriteConflict:
            await self._adopt_chunk(open_submission, number)
            return
        except errors.PlatformError as error:
            if not isinstance(error, errors.AmbiguousWrite):
                open_submission.unconfirmed_since = None
            self._log.info(
                'results not recorded',
                submission=submission_id,
                results=len(chosen),
                reason=str(error),
            )
            await asyncio.sleep(APPEND_RETRY_DELAY_S)
            return
        open_submission.unconfirmed_since = None
        open_submission.add_chunk(chunk)
        self.on_recorded(len(chosen))
        self._log.info(
            'results recorded',
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
            open_submission.unconfirmed_since = None
            open_submission.add_chunk(chunk)
