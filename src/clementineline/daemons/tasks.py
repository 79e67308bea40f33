"""The tasks of a process, ended together with it."""

import asyncio
import contextlib

__all__ = ['TaskGroup']

RESTART_DELAY_S = 1.0


class TaskGroup:
    """Tasks that end with their process.

    :param log: logger
    """

    __slots__ = ('_log', '_tasks')

    def __init__(self, log):
        self._log = log
        self._tasks = set()

    def start(self, coroutine, name):
        """Start a task; an exception in it is logged.

        :returns: the task
        """
        task = asyncio.create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._note_end)
        return task

    def supervise(self, serve, name):
        """Start a task that goes on for ever, and again if it fails.

        :param serve: coroutine function
        :returns: the task
        """
        return self.start(self._serve_forever(serve, name), name)

    async def _serve_forever(self, serve, name):
        while True:
            try:
                await serve()
                return
            except Exception as error:
                self._log.error(
                    'task failed, starts again', task=name, exc_info=error
                )
            await asyncio.sleep(RESTART_DELAY_S)

    def _note_end(self, task):
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._log.error(
                'task failed', task=task.get_name(), exc_info=error
            )

    async def stop(self):
        """Cancel all tasks and wait for their ends."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        for task in tasks:
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await task
