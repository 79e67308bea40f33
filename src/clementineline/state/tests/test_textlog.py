import asyncio
import errno
import types

import pytest

from clementineline.state import questions
from clementineline.state import textlog


def build_part(number, events=('a', 'b')):
    return questions.TextPart('s1', f'i{number}', 'r1', 0, list(events), [1])


class Disk:
    """Logs in one folder, each as after a start of the process."""

    def __init__(self, folder, log):
        self.folder = folder
        self.log = log
        self.recent = []

    def open(self):
        return textlog.TextLog(self.folder, lambda: self.recent, self.log)

    async def keep(self, opened, *parts):
        """Keep parts and wait until they are on the disk."""
        written = opened.written_bytes
        task = asyncio.create_task(opened.run())
        opened.append(list(parts))
        async with asyncio.timeout(5):
            while opened.written_bytes == written:
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
    async def test_next_process_reads_what_was_kept(self, disk):
        opened = disk.open()
        assert opened.load() == []
        disk.recent = [build_part(1)]
        await disk.keep(opened, build_part(1))
        await disk.keep(opened, build_part(2))
        assert disk.list_items() == ['i1', 'i2']

    async def test_both_files_count_and_the_newer_comes_last(self, disk):
        for number in (1, 2, 3):
            opened = disk.open()
            opened.load()
            disk.recent = [build_part(number)]
            await disk.keep(opened, build_part(number))
        assert disk.list_items() == ['i2', 'i3']

    async def test_torn_record_ends_its_file_alone(self, disk):
        opened = disk.open()
        disk.recent = [build_part(1)]
        await disk.keep(opened, build_part(1))
        await disk.keep(opened, build_part(2))
        written = disk.folder / textlog.FILE_NAMES[1]
        data = written.read_bytes()
        for torn in (data[:-1], data[:-9] + bytes(9), data + b'\0\0\0\5'):
            written.write_bytes(torn)
            expected = ['i1', 'i2'] if len(torn) > len(data) else ['i1']
            assert disk.list_items() == expected

    async def test_full_file_gives_way_to_what_still_counts(
        self, disk, monkeypatch
    ):
        monkeypatch.setattr(textlog, 'FILE_BYTES_MAX', 2000)
        opened = disk.open()
        for number in range(100):
            disk.recent = [build_part(number, ['x' * 50])]
            await disk.keep(opened, build_part(number, ['x' * 50]))
        files = list(disk.folder.iterdir())
        assert sum(file.stat().st_size for file in files) < 5000
        assert disk.list_items()[-1] == 'i99'

    async def test_full_disk_costs_nothing_but_texts(self, disk, monkeypatch):
        opened = disk.open()
        disk.recent = [build_part(1)]
        await disk.keep(opened, build_part(1))
        write = opened._write
        failures = []

        def fail_once(name, flags, data):
            if not failures:
                failures.append(name)
                raise OSError(errno.ENOSPC, 'no space')
            write(name, flags, data)

        monkeypatch.setattr(textlog.TextLog, '_write', staticmethod(fail_once))
        disk.recent = [build_part(1), build_part(2)]
        await disk.keep(opened, build_part(2))
        # The other file was begun: the first one may hold a torn record.
        assert failures == [textlog.FILE_NAMES[1]]
        assert disk.list_items()[-2:] == ['i1', 'i2']

    async def test_slow_disk_holds_little_back(self, disk, monkeypatch):
        monkeypatch.setattr(textlog, 'QUEUE_BYTES_MAX', 1000)
        opened = disk.open()
        for number in range(100):
            opened.append([build_part(number)])
        assert opened.dropped > 50
        assert opened._queue_bytes <= 1000

    async def test_folder_that_is_gone_is_said_and_borne(self, disk):
        said = []
        disk.folder = disk.folder / 'missing'
        opened = disk.open()
        assert opened.load() == []
        opened._log = types.SimpleNamespace(
            warning=lambda *_, **fields: said.append(fields)
        )
        task = asyncio.create_task(opened.run())
        opened.append([build_part(1)])
        while not said:
            await asyncio.sleep(0.001)
        assert not task.done()
        task.cancel()
