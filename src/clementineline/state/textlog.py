"""A log of the texts of unfinished items on a VM's disk.

Other keepers hold copies of the texts. The log preserves the texts when all
VMs fail at once. It alternates between two files: one grows up to a limit,
then the other is started with a copy of the recent texts. Each record carries
its length and a checksum, so that the reader stops at an incomplete or damaged
record.

Correctness does not depend on the log. An item whose text is lost is generated
again from its start, so a full, slow or missing disk costs only time.
"""

import asyncio
import collections
import os
import pathlib
import struct
import zlib

import msgspec

from clementineline.state import questions

__all__ = ['TextLog']

# Enough for the texts of two trainers over half a minute.
FILE_BYTES_MAX = 6 * 1024 * 1024
# Limit on the records that wait for a slow disk; the oldest are dropped.
QUEUE_BYTES_MAX = 2 * 1024 * 1024
# Limits the log to a few writes per second. A sync may take 5 ms, and a sync
# of each record would keep the disk busy.
WRITE_PAUSE_S = 0.2
FAILURE_PAUSE_S = 2.0
FILE_NAMES = ('texts.0', 'texts.1')

# Header of a record: the length and the CRC-32 of the payload. The payload of
# the first record of a file has the same layout: 0 and the file's generation.
_HEADER = struct.Struct('>II')
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(list[questions.TextPart])


def _frame_record(payload):
    return _HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def _read_records(data):
    """Yield the payloads up to the first incomplete or damaged record."""
    start = 0
    while start + _HEADER.size <= len(data):
        length, checksum = _HEADER.unpack_from(data, start)
        start += _HEADER.size
        payload = data[start : start + length]
        if len(payload) < length or zlib.crc32(payload) != checksum:
            return
        start += length
        yield payload


class TextLog:
    """Writes parts of texts to disk, and reads them after a restart.

    :param folder: the VM's data folder
    :param list_recent: function that returns the recent texts, a list of
        :class:`~questions.TextPart` to start a new file with
    :param log: logger
    """

    __slots__ = (
        '_begin_failed',
        '_folder',
        '_generation',
        '_list_recent',
        '_log',
        '_queue',
        '_queue_bytes',
        '_size',
        '_wakeup',
        'dropped',
        'failures',
        'written_bytes',
    )

    def __init__(self, folder, list_recent, log):
        self._folder = pathlib.Path(folder)
        # Whether the last write was to start a file, and failed.
        self._begin_failed = False
        self._generation = 0
        self._list_recent = list_recent
        self._log = log
        self._queue = collections.deque()
        self._queue_bytes = 0
        self._size = None
        self._wakeup = asyncio.Event()
        self.dropped = 0
        # Number of failed writes.
        self.failures = 0
        self.written_bytes = 0

    def load(self):
        """Return the parts on disk, in the order in which they were added."""
        files = []
        for name in FILE_NAMES:
            try:
                data = (self._folder / name).read_bytes()
            except FileNotFoundError:
                continue
            except OSError as error:
                self._log.warning('texts not read', file=name, e=str(error))
                continue
            records = _read_records(data)
            first = next(records, b'')
            if len(first) == _HEADER.size:
                generation = _HEADER.unpack(first)[1]
                files.append((generation, records))
        parts = []
        for generation, records in sorted(files, key=lambda file: file[0]):
            self._generation = generation
            for payload in records:
                try:
                    parts.extend(_DECODER.decode(payload))
                except msgspec.DecodeError as error:
                    self._log.warning('texts not decoded', e=str(error))
                    break
        return parts

    def append(self, parts):
        """Queue parts; they are written within some tenths of a second."""
        if not parts:
            return
        record = _frame_record(_ENCODER.encode(parts))
        self._queue.append(record)
        self._queue_bytes += len(record)
        while self._queue_bytes > QUEUE_BYTES_MAX:
            self._queue_bytes -= len(self._queue.popleft())
            self.dropped += 1
        self._wakeup.set()

    async def run(self):
        """Write the queued parts until cancelled."""
        while True:
            await self._wakeup.wait()
            self._wakeup.clear()
            begins = self._size is None or self._size > FILE_BYTES_MAX
            if begins:
                # The other file starts with the recent texts, which include
                # the queued parts.
                data = self._begin_file()
                name, flags = self._name_file(), os.O_TRUNC
                self._size = 0
            else:
                data = b''.join(self._queue)
                name, flags = self._name_file(), os.O_APPEND
            self._queue.clear()
            self._queue_bytes = 0
            try:
                await asyncio.to_thread(self._write, name, flags, data)
            except OSError as error:
                self.failures += 1
                self._log.warning(
                    'texts not written', e=str(error), failures=self.failures
                )
                # The file may end in an incomplete record, and a reader
                # would stop there. So the next write starts a file.
                self._size = None
                self._begin_failed = begins
                await asyncio.sleep(FAILURE_PAUSE_S)
                self._wakeup.set()
                continue
            self._begin_failed = False
            self._size += len(data)
            self.written_bytes += len(data)
            await asyncio.sleep(WRITE_PAUSE_S)

    def _begin_file(self):
        """Return the start of a new file: its generation and recent texts.

        It replaces the older file. A file that could not be started is tried
        again, since the other one is the only one with texts then.
        """
        self._generation += len(FILE_NAMES) if self._begin_failed else 1
        header = _frame_record(_HEADER.pack(0, self._generation))
        recent = self._list_recent()
        return header + _frame_record(_ENCODER.encode(recent))

    def _name_file(self):
        return FILE_NAMES[self._generation % len(FILE_NAMES)]

    def _write(self, name, flags, data):
        handle = os.open(
            self._folder / name, os.O_WRONLY | os.O_CREAT | flags, 0o644
        )
        try:
            view = memoryview(data)
            while view:
                view = view[os.write(handle, view) :]
            os.fdatasync(handle)
        finally:
            os.close(handle)
