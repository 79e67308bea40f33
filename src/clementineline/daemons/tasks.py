"""Background tasks of a process."""

import asyncio
import contextlib

__all__ = ['TaskGroup']

RESTART_DELAY_S = 1.0


class TaskGroup:
    """Starts, restarts and stops the background tasks of a process.

    :param log: logger
    """

    __slots__ = ('_log', '_tasks')

    def __init__(self, log):
        self._log = log
        self._tasks = set()

    def start(self, coroutine, name):
        """Start a task and log an exception that ends it.

        :returns: the task
        """
        task = asyncio.create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._handle_end)
        return task

    def supervise(self, run, name):
        """Start a task that is restarted when it fails.

        :param run: coroutine function that runs until cancelled
        :returns: the task
        """
        return self.start(self._run_with_restarts(run, name), name)

    async def _run_with_restarts(self, run, name):
        while True:
            try:
                await run()
                return
            except Exception as error:
                self._log.error(
                    'task failed, restarting', task=name, exc_info=error
                )
            await asyncio.sleep(RESTART_DELAY_S)

    def _handle_end(self, task):
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._log.error(
                'task failed', task=task.get_name(), exc_info=error
            )

    async def stop(self):
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        for task in tasks:
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await task
