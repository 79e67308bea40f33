"""Daemon processes: event loop, signals and graceful shutdown."""

import asyncio
import signal
import sys

import uvloop

__all__ = ['run_entry', 'run_sidecar']


def _print_tasks():
    """Print the stack of each task, to debug a process that hangs."""
    for task in asyncio.all_tasks():
        task.print_stack(file=sys.stderr)


async def _run(daemon):
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGUSR1, _print_tasks)
    await daemon.start()
    await stopping.wait()
    await daemon.stop()


def _run_process(build):
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(build())


def run_entry(settings):
    """Run an entry until SIGTERM.

    :param settings: :class:`~settings.EntrySettings`
    """
    # Imported here, so that a sidecar does not load the modules of an entry.
    from clementineline.daemons import entry
    from clementineline.daemons import logs

    async def start():
        log = logs.configure_logs(settings.name)
        await _run(entry.Entry(settings, log))

    _run_process(start)


def run_sidecar(settings):
    """Run a sidecar until SIGTERM.

    :param settings: :class:`~settings.SidecarSettings`
    """
    from clementineline.daemons import logs
    from clementineline.daemons import sidecar

    async def start():
        log = logs.configure_logs(settings.name)
        await _run(sidecar.Sidecar(settings, log))

    _run_process(start)
