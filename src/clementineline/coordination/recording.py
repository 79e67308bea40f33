"""Recording the results of open submissions in the ledger, chunk by chunk."""

import asyncio

import msgspec

from clementineline import errors
from clementineline.state import submissions

__all__ = ['ResultWriter', 'is_urgent']

# Results wait for others to share a chunk, unless the trainer waits for just
# them; trainers read about twice a second.
APPEND_INTERVAL_S = 0.45
APPEND_RETRY_S = 0.2


def is_urgent(entry):
    """Whether what has finished gives the trainer all it waits for."""
    if not entry.finished:
        return False
    return (
        not entry.runs
        or entry.count_whole_groups() >= entry.submission.groups_wanted
    )


class ResultWriter:
    """Records results while the lease is held.

    One create is in flight for each submission, and the next one starts from
    what the ledger holds: see ``spec/ledger.py``.

    :param ledger: the :class:`~ledger.Ledger`
    :param may_lead: function that returns whether the lease is held
    :param log: logger
    """

    __slots__ = ('_ledger', '_log', '_may_lead', 'on_recorded')

    def __init__(self, steps_ledger, may_lead, log):
        self._ledger = steps_ledger
        self._log = log
        self._may_lead = may_lead
        # Called with the number of results of each recorded chunk.
        self.on_recorded = lambda count: None

    async def run(self, entry):
        """Record an open submission's results until it is complete."""
        while not entry.complete:
            entry.due.clear()
            if not entry.finished:
                await entry.due.wait()
            if not is_urgent(entry):
                entry.due.clear()
                try:
                    async with asyncio.timeout(APPEND_INTERVAL_S):
                        await entry.due.wait()
                except TimeoutError:
                    pass
            if not entry.finished:
                continue
            if self._may_lead():
                await self._append(entry)
            else:
                await asyncio.sleep(APPEND_RETRY_S)

    async def _append(self, entry):
        submission_id = entry.submission.id
        chosen = []
        size = 0
        for result in entry.finished.values():
            size += len(msgspec.json.encode(result))
            if chosen and size > self._ledger.part_bytes:
                break
            chosen.append(result)
        number = entry.chunk_count
        chunk = submissions.ResultChunk(len(entry.results), tuple(chosen))
        # Until it is answered, and if it never is, others may read it first.
        entry.unsure_at = asyncio.get_running_loop().time()
        try:
            await self._ledger.append(submission_id, number, chunk)
        except errors.WriteConflict:
            await self._adopt(entry, number)
            return
        except errors.PlatformError as error:
            if not isinstance(error, errors.AmbiguousWrite):
                entry.unsure_at = None
            self._log.info(
                'results not recorded',
                submission=submission_id,
                results=len(chosen),
                reason=str(error),
            )
            await asyncio.sleep(APPEND_RETRY_S)
            return
        entry.unsure_at = None
        entry.add_chunk(chunk)
        self.on_recorded(len(chosen))
        self._log.info(
            'results recorded',
            submission=submission_id,
            chunk=number,
            results=len(chosen),
            listed=len(entry.results),
        )

    async def _adopt(self, entry, number):
        """Take the chunk that another writer, or a late write, put there."""
        try:
            chunk = await self._ledger.read_chunk(entry.submission.id, number)
        except errors.PlatformError as error:
            self._log.info('chunk not read', e=str(error))
            await asyncio.sleep(APPEND_RETRY_S)
            return
        if chunk is not None:
            self._log.info(
                'chunk adopted',
                submission=entry.submission.id,
                chunk=number,
                results=len(chunk.results),
            )
            entry.unsure_at = None
            entry.add_chunk(chunk)
