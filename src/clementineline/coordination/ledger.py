"""The record of submissions: a log in the platform's store.

A submission is one object. Its results are numbered chunks; the create that
wins a number fixes the positions in it for everybody, whoever wrote it and
however late. Nothing here depends on who owns a submission.
"""

import urllib.parse

import msgspec

from clementineline import errors
from clementineline.state import submissions

__all__ = ['SUBMISSIONS_KIND', 'Ledger', 'decode_submission_object']

SUBMISSIONS_KIND = 'submissions'
RESULTS_PREFIX = 'results-'
CHUNK_DIGITS = 6
ENDED = {'ended': True}


def decode_submission_object(found):
    """Decode a submission's object.

    :param found: a :class:`~platform.PlatformObject`
    :returns: ``(submission, ended)``; None if it cannot be read
    """
    try:
        submission = msgspec.convert(
            found.value.get('submission'), submissions.Submission
        )
    except msgspec.ValidationError:
        return None
    return submission, bool(found.status and found.status.get('ended'))


def _quote(name):
    return urllib.parse.quote(name, safe='')


class Ledger:
    """Accepts, ends and reads submissions, and appends results.

    :param store: the client of the platform's store
    """

    __slots__ = ('_store',)

    def __init__(self, store):
        self._store = store

    async def accept(self, submission):
        """Record a submission; the same id is accepted once.

        :raises errors.AmbiguousWrite: if it may have been or may yet be
            recorded
        :raises errors.PlatformError: if it was not recorded
        """
        value = {'submission': msgspec.to_builtins(submission)}
        try:
            await self._store.write(
                SUBMISSIONS_KIND, _quote(submission.id), value, 0
            )
        except errors.WriteConflict:
            return

    async def end(self, submission_id):
        """Record the end of a submission; may be repeated.

        :returns: whether there is such a submission
        """
        return await self._store.write_status(
            SUBMISSIONS_KIND, _quote(submission_id), ENDED
        )

    async def read(self, submission_id):
        """Read a submission.

        :returns: ``(submission, ended)``; None if there is none
        """
        found = await self._store.read(SUBMISSIONS_KIND, _quote(submission_id))
        if found is None:
            return None
        return decode_submission_object(found)

    async def append(self, submission_id, number, chunk):
        """Create a chunk of results.

        :param number: number of the chunk, counted from 0
        :raises errors.WriteConflict: if the chunk exists
        :raises errors.AmbiguousWrite: if it may have been created
        """
        kind = RESULTS_PREFIX + _quote(submission_id)
        await self._store.write(
            kind, _name_chunk(number), msgspec.to_builtins(chunk), 0
        )

    async def read_chunk(self, submission_id, number):
        """Read a chunk; None if there is none."""
        kind = RESULTS_PREFIX + _quote(submission_id)
        found = await self._store.read(kind, _name_chunk(number))
        if found is None:
            return None
        return msgspec.convert(found.value, submissions.ResultChunk)

    async def read_chunks(self, submission_id):
        """Read all chunks of a submission, in order."""
        kind = RESULTS_PREFIX + _quote(submission_id)
        page = await self._store.list_objects(kind)
        chunks = []
        for found in sorted(page.objects, key=lambda found: found.name):
            chunks.append(
                msgspec.convert(found.value, submissions.ResultChunk)
            )
        return chunks

    async def remove(self, submission_id, chunk_count):
        """Remove a submission and its chunks."""
        kind = RESULTS_PREFIX + _quote(submission_id)
        for number in range(chunk_count):
            await self._store.delete(kind, _name_chunk(number))
        await self._store.delete(SUBMISSIONS_KIND, _quote(submission_id))


def _name_chunk(number):
    return f'{number:0{CHUNK_DIGITS}d}'
