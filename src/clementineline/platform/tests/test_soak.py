"""Short seeded soak of gateway and keeper processes."""

import pathlib
import random
import types

import pytest

from clementineline.platform.tests.soak import __main__ as soak
from clementineline.platform.tests.soak import faults

DURATION_S = 20.0


class TestSoak:
    # Seeds that have failed, see docs/developers.md.
    @pytest.mark.parametrize('seed', [2, 6])
    async def test_promises_hold_under_faults(self, seed, tmp_path):
        recorder, injector, trainer = await soak.run_seed(
            seed, DURATION_S, tmp_path
        )
        assert not recorder.violations, injector.injected
        # Otherwise the run would show nothing.
        assert trainer.completed == trainer.accepted > 5
        assert recorder.statuses['/live/a', 200] > 50


class TestFailDisk:
    async def test_keeper_writes_between_removal_and_folder(
        self, tmp_path, monkeypatch
    ):
        # The soak ended with FileExistsError instead of a failed disk.
        unlink = pathlib.Path.unlink
        written = []

        def write_again(path, missing_ok=False):
            unlink(path, missing_ok)
            if path not in written:
                written.append(path)
                path.write_bytes(b'texts')

        monkeypatch.setattr(pathlib.Path, 'unlink', write_again)
        files = [tmp_path / 'texts.0', tmp_path / 'texts.1']
        files[0].write_bytes(b'texts')
        failed = []

        async def look(left_s):
            failed.extend(path for path in files if path.is_dir())

        monkeypatch.setattr(faults.asyncio, 'sleep', look)
        fleet = types.SimpleNamespace(get_disk=lambda name: tmp_path)
        injector = faults.FaultInjector(fleet, None, random.Random(1))
        await injector.fail_disk('keeper-1', 1.0, random.Random(1))
        assert failed == written == files
        assert not any(path.exists() for path in files)
