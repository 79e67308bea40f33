"""The client of a trainer: submits steps and iterates over complete groups.

The client keeps the cursor. A group counts as delivered once the iterator has
returned it. Store :attr:`TrainerClient.cursor` with each checkpoint: a trainer
that is restored from it gets exactly the groups that it had not yet received.
"""

import asyncio
import random

import aiohttp
import msgspec

from clementineline import errors
from clementineline.state import cursor as cursors

__all__ = ['SampleGroup', 'TrainerClient', 'TrainerError']

RETRY_MIN_S = 0.1
RETRY_MAX_S = 2.0
PULL_WAIT_S = 5.0
# Time limit of a call beyond the wait that it requests.
TIMEOUT_MARGIN_S = 15.0


class TrainerError(errors.ClementinelineError):
    """The service refused a request of the trainer."""


class _Sample(msgspec.Struct, frozen=True):
    """A sample, as listed by :class:`SampleGroup`.

    :param index: index in the step
    :param spans: ``(weights version, tokens)`` pairs, in order
    :param score: score from the scoring service, or None
    """

    index: int
    text: str
    spans: list[tuple[int, int]]
    finish_reason: str
    score: float | None


class _PullAnswer(msgspec.Struct, frozen=True):
    """Complete groups, and the cursor after them.

    :param complete: whether the cursor then holds all samples of the step
    """

    groups: list[list[_Sample]]
    cursor: cursors.WireCursor
    complete: bool


class SampleGroup:
    """The complete group of samples of one prompt.

    :param prompt_index: index of the prompt in the step
    :param samples: the samples, with ``index``, ``text``, ``spans``,
        ``finish_reason`` and ``score``
    """

    __slots__ = ('prompt_index', 'samples')

    def __init__(self, prompt_index, samples):
        self.prompt_index = prompt_index
        self.samples = samples


class TrainerClient:
    """One trainer's connection to the service.

    :param name: the trainer's name in the configuration
    :param entries: HTTP roots of entries, such as ``http://10.0.0.1:7200``
    :param version: weights version from which the trainer starts
    :param cursor: cursor from a checkpoint, or None
    """

    def __init__(self, name, entries, version=0, cursor=None):
        self.name = name
        self._entries = list(entries)
        self._entry_index = random.randrange(len(self._entries))
        self._version = version
        self._cursor = cursor
        self._step = None
        self._http = None
        self.pulls = 0
        self.failures = 0

    async def __aenter__(self):
        self._http = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *_):
        await self._http.close()

    @property
    def cursor(self):
        """The :class:`~cursor.WireCursor` to store with a checkpoint."""
        return self._cursor

    @property
    def version(self):
        """The weights version that the trainer trains now."""
        return self._version

    async def announce(self, version):
        """Announce new weights, for all endpoints of the model to load.

        :param version: weights version, higher than the previous one
        """
        await self._post('weights', {'version': version}, TIMEOUT_MARGIN_S)
        self._set_version(version)

    def _set_version(self, version):
        self._version = version
        if self._cursor is not None:
            self._cursor = msgspec.structs.replace(
                self._cursor, version=version
            )

    async def submit(self, step, prompts, group_size, **options):
        """Submit a step; it may be submitted more than once.

        :param step: step id, unique for this trainer
        :param prompts: list of prompts, one for each group
        :param group_size: number of samples for each prompt
        :param options: ``max_tokens``, ``scoring``, ``sampling``
        """
        self._step = {
            'step': step,
            'prompts': list(prompts),
            'group_size': group_size,
            **options,
        }
        if self._cursor is None or self._cursor.step != step:
            self._cursor = cursors.WireCursor(step, self._version)
        await self._submit()

    async def _submit(self):
        """Submit the step with the cursor of the samples received so far.

        The service then generates only the other samples.
        """
        cursor = msgspec.to_builtins(self._cursor)
        await self._post('steps', {**self._step, 'cursor': cursor}, 0.0)

    async def groups(self):
        """Iterate over the step's complete groups until all are delivered.

        :returns: async iterator of :class:`SampleGroup`
        """
        size = self._step['group_size']
        samples = size * len(self._step['prompts'])
        while True:
            pull = await self._pull()
            if pull is None:
                continue
            for group in pull.groups:
                received = cursors.parse_cursor(self._cursor, samples)
                indices = [sample.index for sample in group]
                self._cursor = received.add(indices).to_wire()
                yield SampleGroup(indices[0] // size, group)
            received = cursors.parse_cursor(self._cursor, samples)
            if received.count() == samples:
                return

    async def _pull(self):
        request = {
            'cursor': msgspec.to_builtins(self._cursor),
            'wait_s': PULL_WAIT_S,
        }
        self.pulls += 1
        version = self._version
        try:
            body = await self._post('pull', request, PULL_WAIT_S)
        except _LostStep:
            await self._submit()
            return None
        if version != self._version:
            # New weights were announced during the pull, so its samples may
            # be too old. The cursor is unchanged: the next pull asks for the
            # same groups again.
            return None
        return msgspec.json.decode(body, type=_PullAnswer)

    async def _post(self, action, value, wait_s):
        """Post to one entry after the other until one accepts the request.

        :returns: body of the response
        :raises TrainerError: if an entry refuses the request
        :raises _LostStep: if the step must be submitted again
        """
        data = msgspec.json.encode(value)
        delay_s = RETRY_MIN_S
        while True:
            url = self._entries[self._entry_index % len(self._entries)]
            timeout = aiohttp.ClientTimeout(total=wait_s + TIMEOUT_MARGIN_S)
            try:
                async with self._http.post(
                    f'{url}/v1/trainers/{self.name}/{action}',
                    data=data,
                    timeout=timeout,
                ) as response:
                    body = await response.read()
                    status = response.status
            except (aiohttp.ClientError, OSError, TimeoutError):
                status, body = 503, b''
            if 200 <= status < 300:
                return body
            if 300 <= status < 500:
                _raise_refusal(status, body)
            self.failures += 1
            self._entry_index += 1
            await asyncio.sleep(delay_s * random.uniform(0.5, 1.0))
            delay_s = min(delay_s * 2, RETRY_MAX_S)


class _LostStep(Exception):
    """The service no longer has the step; it must be submitted again."""


def _raise_refusal(status, body):
    try:
        error = msgspec.json.decode(body)['error']
        code, message = error['code'], error['message']
    except (msgspec.DecodeError, LookupError, TypeError):
        code, message = None, body[:200].decode(errors='replace')
    if code == 'lost_step':
        raise _LostStep
    raise TrainerError(f'status {status}: {message}')
