"""Starts a process of the product on the platform."""

import asyncio
import os
import signal
import sys

from clementineline.daemons import logs
from clementineline import errors
from clementineline.platform import dialect
from clementineline.platform import objects
from clementineline.platform import settings
from clementineline.transport import frames

__all__ = ['run']

RELOAD_CHECK_S = 2.0


def _build_gateway(loaded, store, log):
    from clementineline.daemons import gateway

    return gateway.Gateway(loaded, store, dialect.WireDialect(), log)


def _build_keeper(loaded, store, log):
    from clementineline.daemons import keeper

    return keeper.Keeper(loaded, store, dialect.WireDialect(), log)


_ROLES = {
    'gateway': (settings.load_gateway_settings, _build_gateway),
    'keeper': (settings.load_keeper_settings, _build_keeper),
}


async def _watch_settings(path, load, process, hangup, log):
    """Reload settings when the file changes, with or without a signal."""
    seen = os.stat(path).st_mtime_ns
    while True:
        signalled = True
        try:
            async with asyncio.timeout(RELOAD_CHECK_S):
                await hangup.wait()
        except TimeoutError:
            signalled = False
        hangup.clear()
        try:
            changed = os.stat(path).st_mtime_ns
            if changed == seen and not signalled:
                continue
            seen = changed
            process.reload(load(path))
        except (OSError, errors.SettingsError) as error:
            log.error('settings not reloaded', reason=str(error))


async def _serve(role, path):
    load, build = _ROLES[role]
    loaded = load(path)
    log = logs.configure_stdout_logs(loaded.name)
    store = objects.ObjectStore(frames.parse_address(loaded.store), log)
    process = build(loaded, store, log)
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    hangup = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, hangup.set)
    await process.start()
    watcher = asyncio.create_task(
        _watch_settings(path, load, process, hangup, log)
    )
    await stopped.wait()
    watcher.cancel()
    await process.stop()


def run(arguments):
    """Run a role until it is stopped.

    :param arguments: the role, ``gateway`` or ``keeper``
    :returns: the exit code
    """
    if len(arguments) != 1 or arguments[0] not in _ROLES:
        sys.stderr.write(
            f'{arguments!r}: expected one of {", ".join(_ROLES)}\n'
        )
        return 2
    path = os.environ.get(settings.BOOT_VARIABLE, '')
    try:
        asyncio.run(_serve(arguments[0], path))
    except errors.SettingsError as error:
        sys.stderr.write(f'settings: {error}\n')
        return 1
    return 0
