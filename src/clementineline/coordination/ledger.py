"""The ledger: submissions and their results in the platform's store.

A submission is one object. The items of a large submission are stored in
separate objects, which are written first. Results are appended as numbered
chunks: the first create of a chunk number fixes the positions of its results
for all readers, whichever process sent it and however late it was applied.
Nothing here depends on which process owns a submission.
"""

import dataclasses
import hashlib
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
ORGANISATION_DIGEST_BYTES = 8
# Share of the store's value size limit that is used for items or results; the
# rest is left for the fields around them.
PART_BYTES_SHARE = 0.7
NUMBER_DIGITS = 6
ENDED_STATUS = {'ended': True}


@dataclasses.dataclass(slots=True)
class SubmissionRecord:
    """The content of a submission's object.

    :param submission: the :class:`~submissions.Submission`, without items if
        they are stored in separate objects
    :param ended: whether its end was recorded
    :param part_count: number of the separate objects, or 0
    """

    submission: submissions.Submission
    ended: bool
    part_count: int = 0


def decode_submission_object(found):
    """Decode a submission's object.

    :param found: a :class:`~objects.PlatformObject`
    :returns: a :class:`SubmissionRecord`; None if it cannot be decoded
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


def _decode_chunk(found):
    """Decode a chunk of results.

    :raises errors.PlatformError: if the object holds none
    """
    try:
        return msgspec.convert(found.value, submissions.ResultChunk)
    except msgspec.ValidationError as error:
        raise errors.PlatformError(
            f'{found.kind}/{found.name}: no chunk of results: '
            f'{found.fault or error}'
        ) from error


def _is_number(name):
    """Return whether an object's name is the number of a chunk."""
    return len(name) == NUMBER_DIGITS and name.isascii() and name.isdigit()


def _quote(name):
    return urllib.parse.quote(name, safe='')


def _name_items_kind(submission_id, organisation):
    """Return the kind of the objects that hold a submission's items.

    Each organisation has kinds of its own. Otherwise, items that one has
    written without recording their submission would become part of a
    submission of another one that uses the same id.

    :param organisation: as in :class:`~submissions.Submission`
    """
    if organisation is None:
        return ITEMS_PREFIX + _quote(submission_id)
    digest = hashlib.blake2b(
        organisation.encode(), digest_size=ORGANISATION_DIGEST_BYTES
    ).hexdigest()
    return f'{ITEMS_PREFIX}{digest}.{_quote(submission_id)}'


def _encode_submission(submission):
    value = msgspec.to_builtins(submission)
    if submission.organisation is None:
        # Records without organisations stay as earlier versions wrote them.
        del value['organisation']
    return value


class Ledger:
    """Accepts, ends and reads submissions, and appends results.

    :param store: the client of the platform's store
    :param value_bytes: largest value that the store accepts, in bytes
    :ivar part_bytes: most bytes of items or results in one object
    """

    __slots__ = ('_store', 'part_bytes')

    def __init__(self, store, value_bytes):
        self.part_bytes = int(value_bytes * PART_BYTES_SHARE)
        self._store = store

    async def accept(self, submission):
        """Record a submission, unless its id is recorded already.

        :param submission: the :class:`~submissions.Submission`
        :returns: whether this call has recorded it; False if the id is taken
        :raises errors.AmbiguousWrite: if it may have been recorded or may be
            recorded later
        :raises errors.PlatformError: if it was not recorded
        """
        parts = split_items(submission.items, self.part_bytes)
        value = {}
        if len(parts) > 1:
            await self._write_parts(submission, parts)
            submission = msgspec.structs.replace(submission, items=())
            value['parts'] = len(parts)
        value['submission'] = _encode_submission(submission)
        try:
            await self._store.write(
                SUBMISSIONS_KIND, _quote(submission.id), value, 0
            )
        except errors.WriteConflict:
            return False
        return True

    async def _write_parts(self, submission, parts):
        """Write the items, which are unused until the submission is written.

        An ambiguous write of items is therefore reported as a failed one.
        """
        kind = _name_items_kind(submission.id, submission.organisation)
        for number, part in enumerate(parts):
            value = {'items': msgspec.to_builtins(part)}
            try:
                await self._store.write(kind, _format_number(number), value, 0)
            except errors.WriteConflict:
                # An earlier attempt wrote the same items.
                continue
            except errors.AmbiguousWrite as error:
                raise errors.PlatformUnavailable(
                    f'items of {submission.id}: {error}'
                ) from error

    async def read_items(self, submission_id, part_count, organisation=None):
        """Read the items of a submission from their separate objects.

        :param organisation: as in :class:`~submissions.Submission`
        :raises errors.PlatformError: if an object is missing
        """
        kind = _name_items_kind(submission_id, organisation)
        items = []
        for number in range(part_count):
            found = await self._store.read(kind, _format_number(number))
            if found is None:
                raise errors.PlatformError(
                    f'{kind}: part {number} of {part_count} is missing'
                )
            try:
                items.extend(
                    msgspec.convert(
                        found.value.get('items'), list[submissions.Item]
                    )
                )
            except msgspec.ValidationError as error:
                raise errors.PlatformError(
                    f'{kind}: part {number}: {found.fault or error}'
                ) from error
        return tuple(items)

    async def end(self, submission_id):
        """Record the end of a submission; idempotent.

        :returns: whether the submission exists
        """
        return await self._store.write_status(
            SUBMISSIONS_KIND, _quote(submission_id), ENDED_STATUS
        )

    async def read(self, submission_id):
        """Read a submission.

        :returns: the :class:`~submissions.Submission`, or None if it does not
            exist
        :raises errors.PlatformError: if its object cannot be decoded
        """
        record = await self.read_record(submission_id)
        return None if record is None else await self.complete(record)

    async def read_record(self, submission_id):
        """Read a submission's object, without separate items.

        :returns: the :class:`SubmissionRecord`, or None if it does not exist
        :raises errors.PlatformError: if its object cannot be decoded
        """
        found = await self._store.read(SUBMISSIONS_KIND, _quote(submission_id))
        if found is None:
            return None
        record = decode_submission_object(found)
        if record is None:
            raise errors.PlatformError(
                f'{SUBMISSIONS_KIND}/{submission_id}: not a submission'
            )
        return record

    async def complete(self, record):
        """Return a :class:`SubmissionRecord`'s submission with its items."""
        if not record.part_count:
            return record.submission
        submission = record.submission
        items = await self.read_items(
            submission.id, record.part_count, submission.organisation
        )
        return msgspec.structs.replace(submission, items=items)

    async def append(self, submission_id, number, chunk):
        """Create a chunk of results.

        :param number: number of the chunk, counted from 0
        :param chunk: the :class:`~submissions.ResultChunk`
        :raises errors.WriteConflict: if the chunk exists
        :raises errors.AmbiguousWrite: if it may have been created
        """
        kind = RESULTS_PREFIX + _quote(submission_id)
        await self._store.write(
            kind, _format_number(number), msgspec.to_builtins(chunk), 0
        )

    async def read_chunk(self, submission_id, number):
        """Return a chunk, or None if it does not exist."""
        kind = RESULTS_PREFIX + _quote(submission_id)
        found = await self._store.read(kind, _format_number(number))
        if found is None:
            return None
        return _decode_chunk(found)

    async def read_chunks(self, submission_id):
        """Return all chunks of a submission, in order."""
        kind = RESULTS_PREFIX + _quote(submission_id)
        page = await self._store.list_objects(kind)
        chunks = []
        for found in sorted(page.objects, key=lambda found: found.name):
            if _is_number(found.name):
                chunks.append(_decode_chunk(found))
        return chunks

    async def remove(
        self, submission_id, chunk_count, part_count, organisation=None
    ):
        """Remove a submission's chunks, its items and then its object.

        :param organisation: as in :class:`~submissions.Submission`
        """
        results_kind = RESULTS_PREFIX + _quote(submission_id)
        items_kind = _name_items_kind(submission_id, organisation)
        for kind, count in (
            (results_kind, chunk_count),
            (items_kind, part_count),
        ):
            for number in range(count):
                await self._store.delete(kind, _format_number(number))
        await self._store.delete(SUBMISSIONS_KIND, _quote(submission_id))


def split_items(items, bytes_max):
    """Split items into parts that each fit into one stored value.

    An item that is larger than the limit gets a part of its own.

    :param bytes_max: largest encoded size of a part's items, in bytes
    :returns: list of tuples of items; it has at least one tuple
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


def _format_number(number):
    return f'{number:0{NUMBER_DIGITS}d}'
