"""The record of submissions: a log in the platform's store.

A submission is one object; the items of a large one stand in objects of their
own, written before it. Its results are numbered chunks; the create that
wins a number fixes the positions in it for everybody, whoever wrote it and
however late. Nothing here depends on who owns a submission.
"""

import dataclasses
import urllib.parse

import msgspec

from clementineline import errors
from clementineline.state import submissions

__all__ = [
    'SUBMISSIONS_KIND',
    'Ledger',
    'SubmissionRecord',
    'decode_submission_object',
    'split_items',
]

SUBMISSIONS_KIND = 'submissions'
RESULTS_PREFIX = 'results-'
ITEMS_PREFIX = 'items-'
# Of the store's limit on a value: the rest is for what surrounds a part's
# items or results.
PART_SHARE = 0.7
CHUNK_DIGITS = 6
ENDED = {'ended': True}


@dataclasses.dataclass(slots=True)
class SubmissionRecord:
    """A submission as its object says.

    :param submission: the :class:`~submissions.Submission`, without items if
        they stand in objects of their own
    :param ended: whether its end was recorded
    :param part_count: number of those objects
    """

    submission: submissions.Submission
    ended: bool
    part_count: int = 0


def decode_submission_object(found):
    """Decode a submission's object.

    :param found: a :class:`~platform.PlatformObject`
    :returns: a :class:`SubmissionRecord`; None if it cannot be read
    """
    try:
        submission = msgspec.convert(
            found.value.get('submission'), submissions.Submission
        )
        part_count = msgspec.convert(found.value.get('parts', 0), int)
    except msgspec.ValidationError:
        return None
    ended = bool(found.status and found.status.get('ended'))
    return SubmissionRecord(submission, ended, part_count)


def _quote(name):
    return urllib.parse.quote(name, safe='')


class Ledger:
    """Accepts, ends and reads submissions, and appends results.

    :param store: the client of the platform's store
    :param value_bytes: largest value that the store takes
    :ivar part_bytes: most bytes of items or results in one object
    """

    __slots__ = ('_store', 'part_bytes')

    def __init__(self, store, value_bytes):
        self.part_bytes = int(value_bytes * PART_SHARE)
        self._store = store

    async def accept(self, submission):
        """Record a submission; the same id is accepted once.

        :raises errors.AmbiguousWrite: if it may have been or may yet be
            recorded
        :raises errors.PlatformError: if it was not recorded
        """
        parts = split_items(submission.items, self.part_bytes)
        value = {}
        if len(parts) > 1:
            await self._write_parts(submission.id, parts)
            submission = msgspec.structs.replace(submission, items=())
            value['parts'] = len(parts)
        value['submission'] = msgspec.to_builtins(submission)
        try:
            await self._store.write(
                SUBMISSIONS_KIND, _quote(submission.id), value, 0
            )
        except errors.WriteConflict:
            return

    async def _write_parts(self, submission_id, parts):
        """Write the items; without the submission itself they mean nothing."""
        kind = ITEMS_PREFIX + _quote(submission_id)
        for number, part in enumerate(parts):
            value = {'items': msgspec.to_builtins(part)}
            try:
                await self._store.write(kind, _name_chunk(number), value, 0)
            except errors.WriteConflict:
                # An earlier attempt wrote the same items.
                continue
            except errors.AmbiguousWrite as error:
                raise errors.PlatformUnavailable(
                    f'items of {submission_id}: {error}'
                ) from error

    async def read_items(self, submission_id, part_count):
        """Read the items that stand in objects of their own.

        :raises errors.PlatformError: if one is missing
        """
        kind = ITEMS_PREFIX + _quote(submission_id)
        items = []
        for number in range(part_count):
            found = await self._store.read(kind, _name_chunk(number))
            if found is None:
                raise errors.PlatformError(
                    f'{kind}: part {number} of {part_count} is missing'
                )
            items.extend(
                msgspec.convert(
                    found.value.get('items'), list[submissions.Item]
                )
            )
        return tuple(items)

    async def end(self, submission_id):
        """Record the end of a submission; may be repeated.

        :returns: whether there is such a submission
        """
        return await self._store.write_status(
            SUBMISSIONS_KIND, _quote(submission_id), ENDED
        )

    async def read(self, submission_id):
        """Read a submission.

        :returns: the :class:`~submissions.Submission`; None if there is none
        """
        found = await self._store.read(SUBMISSIONS_KIND, _quote(submission_id))
        if found is None:
            return None
        record = decode_submission_object(found)
        if record is None:
            raise errors.PlatformError(
                f'{SUBMISSIONS_KIND}/{submission_id}: not a submission'
            )
        return await self.complete(record)

    async def complete(self, record):
        """Return a :class:`SubmissionRecord`'s submission with its items."""
        if not record.part_count:
            return record.submission
        items = await self.read_items(record.submission.id, record.part_count)
        return msgspec.structs.replace(record.submission, items=items)

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

    async def remove(self, submission_id, chunk_count, part_count):
        """Remove a submission, its chunks and the objects of its items."""
        for prefix, count in (
            (RESULTS_PREFIX, chunk_count),
            (ITEMS_PREFIX, part_count),
        ):
            kind = prefix + _quote(submission_id)
            for number in range(count):
                await self._store.delete(kind, _name_chunk(number))
        await self._store.delete(SUBMISSIONS_KIND, _quote(submission_id))


def split_items(items, bytes_max):
    """Split items into parts that fit into a value each.

    :param bytes_max: largest encoded size of a part's items
    :returns: list of tuples, one at least
    """
    parts = []
    part = []
    size = 0
    for item in items:
        item_bytes = len(msgspec.json.encode(item))
        if part and size + item_bytes > bytes_max:
            parts.append(tuple(part))
            part = []
            size = 0
        part.append(item)
        size += item_bytes
    parts.append(tuple(part))
    return parts


def _name_chunk(number):
    return f'{number:0{CHUNK_DIGITS}d}'
