"""Start, signal and stop the operating system processes of experiments."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

__all__ = ['ProcessGroup', 'read_cpu_s', 'read_rss_mb', 'wait_for_port']

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0


async def wait_for_port(port, timeout_s=START_TIMEOUT_S):
    """Wait until a process accepts connections on a local port.

    :raises TimeoutError: if no process does in time
    """
    async with asyncio.timeout(timeout_s):
        while True:
            try:
                _, writer = await asyncio.open_connection('127.0.0.1', port)
            except OSError:
                await asyncio.sleep(0.02)
                continue
            writer.close()
            return


def read_rss_mb(pid):
    """Return the resident memory of a process, in MiB."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    for line in status.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / 1024
    return 0.0


def read_cpu_s(pid):
    """Return the CPU time that a process has used, in seconds."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rsplit(')')[1]
    parts = fields.split()
    ticks = int(parts[11]) + int(parts[12])
    return ticks / os.sysconf('SC_CLK_TCK')


class ProcessGroup:
    """The processes of one experiment, by name.

    :param folder: folder for settings files, logs and fact files
    """

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self._processes = {}
        self._arguments = {}

    def start_standin(self, name, module, *options):
        """Start a stand-in from a module of ``clementineline.standins``."""
        self._start(
            name, ['-m', f'clementineline.standins.{module}', *options]
        )

    def start_daemon(self, name, role, settings):
        """Write a settings file and start an entry or sidecar with it."""
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings, indent=1))
        self._start(
            name, ['-m', 'clementineline', role, '--settings', str(path)]
        )

    def start_program(self, name, arguments, variables):
        """Start a Python program.

        :param arguments: its path and arguments
        :param variables: dict of additional environment variables
        """
        self._start(name, arguments, variables)

    def _start(self, name, arguments, variables=None):
        self._arguments[name] = arguments, variables
        log = (self.folder / f'{name}.log').open('ab')
        self._processes[name] = subprocess.Popen(
            [sys.executable, *arguments],
            stdout=log,
            stderr=log,
            env={**os.environ, **(variables or {})},
        )
        log.close()

    def restart(self, name):
        """Start a stopped process again with the same arguments."""
        self._start(name, *self._arguments[name])

    def get_pid(self, name):
        """Return the id of a process."""
        return self._processes[name].pid

    def is_running(self, name):
        """Return whether a process is running."""
        return self._processes[name].poll() is None

    def send_signal(self, name, signal_number):
        """Send a signal to a process."""
        self._processes[name].send_signal(signal_number)

    def kill(self, name):
        """Kill a process and wait until it has ended."""
        process = self._processes[name]
        process.send_signal(signal.SIGCONT)
        process.kill()
        process.wait()

    async def terminate(self, name, timeout_s=STOP_TIMEOUT_S):
        """Send SIGTERM to a process and wait until it ends.

        :returns: the exit code, or None if the process did not end in time
        """
        process = self._processes[name]
        process.terminate()
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            code = process.poll()
            if code is not None:
                return code
            await asyncio.sleep(0.05)
        return None

    def stop_all(self):
        """Kill all processes."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait()
