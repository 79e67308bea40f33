"""Entry point of the gateway and keeper processes on the platform."""

import asyncio
import os
import signal
import sys

from clementineline.daemons import logs
from clementineline.daemons import memory
from clementineline import errors
from clementineline.platform import dialect
from clementineline.platform import objects
from clementineline.platform import settings
from clementineline.transport import frames

__all__ = ['run']

SETTINGS_CHECK_INTERVAL_S = 2.0


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


async def _reload_on_change(path, load, process, hangup, log):
    """Reload the settings when the file changes or on SIGHUP.

    :param path: path of the settings file
    :param load: function that loads the settings from a path
    :param process: gateway or keeper that the settings are for
    :param hangup: event that is set on SIGHUP
    :param log: logger
    """
    loaded_mtime_ns = os.stat(path).st_mtime_ns
    while True:
        signalled = True
        try:
            async with asyncio.timeout(SETTINGS_CHECK_INTERVAL_S):
                await hangup.wait()
        except TimeoutError:
            signalled = False
        hangup.clear()
        try:
            mtime_ns = os.stat(path).st_mtime_ns
            if mtime_ns == loaded_mtime_ns and not signalled:
                continue
            loaded_mtime_ns = mtime_ns
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
    stop_requested = asyncio.Event()
    hangup = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, hangup.set)
    await process.start()
    watcher = asyncio.create_task(
        _reload_on_change(path, load, process, hangup, log)
    )
    await stop_requested.wait()
    watcher.cancel()
    await process.stop()


def run(arguments):
    """Run a gateway or keeper until it receives SIGTERM or SIGINT.

    :param arguments: command line arguments: the role, ``gateway`` or
        ``keeper``
    :returns: the exit code
    """
    if len(arguments) != 1 or arguments[0] not in _ROLES:
        sys.stderr.write(
            f'arguments {arguments!r}: expected one role of '
            f'{", ".join(_ROLES)}\n'
        )
        return 2
    path = os.environ.get(settings.BOOT_VARIABLE, '')
    memory.return_freed_memory()
    try:
        asyncio.run(_serve(arguments[0], path))
    except errors.SettingsError as error:
        sys.stderr.write(f'settings: {error}\n')
        return 1
    return 0
