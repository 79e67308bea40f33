"""Tests of the log of texts on disk."""

import asyncio
import errno
import types

import pytest

from clementineline.state import questions
from clementineline.state import textlog


def build_part(number, events=('a', 'b')):
    return questions.TextPart('s1', f'i{number}', 'r1', 0, list(events), [1])


class Disk:
    """A folder with log files; :meth:`open` stands for a process start."""

    def __init__(self, folder, log):
        self.folder = folder
        self.log = log
        self.recent = []

    def open(self):
        return textlog.TextLog(self.folder, lambda: self.recent, self.log)

    async def append_and_wait(self, text_log, *parts):
        """Append parts and wait until they are on the disk."""
        written = text_log.written_bytes
        task = asyncio.create_task(text_log.run())
        text_log.append(list(parts))
        async with asyncio.timeout(5):
            while text_log.written_bytes == written:
                await asyncio.sleep(0.001)
        task.cancel()

    def list_items(self):
        return [part.item_id for part in self.open().load()]


@pytest.fixture
def disk(tmp_path, log, monkeypatch):
    monkeypatch.setattr(textlog, 'WRITE_PAUSE_S', 0.001)
    monkeypatch.setattr(textlog, 'FAILURE_PAUSE_S', 0.001)
    return Disk(tmp_path, log)


class TestTextLog:
    """The log restores texts after a restart, and tolerates disk failures.

    A process may be killed during a write, which leaves an incomplete record;
    the disk may be full, slow or missing.
    """

    async def test_next_process_reads_the_appended_parts(self, disk):
        text_log = disk.open()
        assert text_log.load() == []
        disk.recent = [build_part(1)]
        await disk.append_and_wait(text_log, build_part(1))
        await disk.append_and_wait(text_log, build_part(2))
        assert disk.list_items() == ['i1', 'i2']

    async def test_both_files_are_read_and_the_newer_comes_last(self, disk):
        for number in (1, 2, 3):
            text_log = disk.open()
            text_log.load()
            disk.recent = [build_part(number)]
            await disk.append_and_wait(text_log, build_part(number))
        assert disk.list_items() == ['i2', 'i3']

    async def test_torn_record_hides_only_later_records_of_its_file(
        self, disk
    ):
        text_log = disk.open()
        disk.recent = [build_part(1)]
        await disk.append_and_wait(text_log, build_part(1))
        await disk.append_and_wait(text_log, build_part(2))
        written = disk.folder / textlog.FILE_NAMES[1]
        data = written.read_bytes()
        for torn in (data[:-1], data[:-9] + bytes(9), data + b'\0\0\0\5'):
            written.write_bytes(torn)
            expected = ['i1', 'i2'] if len(torn) > len(data) else ['i1']
            assert disk.list_items() == expected

    async def test_full_file_is_replaced_by_the_recent_texts(
        self, disk, monkeypatch
    ):
        monkeypatch.setattr(textlog, 'FILE_BYTES_MAX', 2000)
        text_log = disk.open()
        for number in range(100):
            disk.recent = [build_part(number, ['x' * 50])]
            await disk.append_and_wait(
                text_log, build_part(number, ['x' * 50])
            )
        files = list(disk.folder.iterdir())
        assert sum(file.stat().st_size for file in files) < 5000
        assert disk.list_items()[-1] == 'i99'

    async def test_log_continues_after_a_full_disk(self, disk, monkeypatch):
        text_log = disk.open()
        disk.recent = [build_part(1)]
        await disk.append_and_wait(text_log, build_part(1))
        write = text_log._write
        failures = []

        def fail_once(name, flags, data):
            if not failures:
                failures.append(name)
                raise OSError(errno.ENOSPC, 'no space')
            write(name, flags, data)

        monkeypatch.setattr(textlog.TextLog, '_write', staticmethod(fail_once))
        disk.recent = [build_part(1), build_part(2)]
        await disk.append_and_wait(text_log, build_part(2))
        # The other file was started, as the first may hold a torn record.
        assert failures == [textlog.FILE_NAMES[1]]
        assert disk.list_items()[-2:] == ['i1', 'i2']

    async def test_disk_that_stays_full_keeps_the_texts_on_it(
        self, disk, monkeypatch
    ):
        text_log = disk.open()
        disk.recent = [build_part(1)]
        await disk.append_and_wait(text_log, build_part(1))

        def write_nothing(handle, data):
            raise OSError(errno.ENOSPC, 'no space')

        with monkeypatch.context() as full:
            full.setattr(textlog.os, 'write', write_nothing)
            task = asyncio.create_task(text_log.run())
            text_log.append([build_part(2)])
            async with asyncio.timeout(5):
                while text_log.failures < 4:
                    await asyncio.sleep(0.001)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            assert disk.list_items() == ['i1']
        disk.recent = [build_part(1), build_part(2), build_part(3)]
        await disk.append_and_wait(text_log, build_part(3))
        assert disk.list_items()[-3:] == ['i1', 'i2', 'i3']

    async def test_queue_for_a_slow_disk_is_bounded(self, disk, monkeypatch):
        monkeypatch.setattr(textlog, 'QUEUE_BYTES_MAX', 1000)
        text_log = disk.open()
        for number in range(100):
            text_log.append([build_part(number)])
        assert text_log.dropped > 50
        assert text_log._queue_bytes <= 1000

    async def test_missing_folder_is_logged_and_tolerated(self, disk):
        warnings = []
        disk.folder = disk.folder / 'missing'
        text_log = disk.open()
        assert text_log.load() == []
        text_log._log = types.SimpleNamespace(
            warning=lambda *_, **fields: warnings.append(fields)
        )
        task = asyncio.create_task(text_log.run())
        text_log.append([build_part(1)])
        while not warnings:
            await asyncio.sleep(0.001)
        assert not task.done()
        task.cancel()
