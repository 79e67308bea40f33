"""Questions between processes: one answer each, on a kept stream.

A question changes nothing, so it may be asked again; a session that outlives
its connection would buy nothing here.
"""

import asyncio
import itertools

import msgspec

from clementineline import errors
from clementineline.transport import frames

__all__ = ['QuestionClient', 'serve_questions']

CONNECT_TIMEOUT_S = 0.5
CONCURRENT_MAX = 512


class _Question(msgspec.Struct, array_like=True):
    number: int
    payload: msgspec.Raw


class _Answer(msgspec.Struct, array_like=True):
    number: int
    payload: msgspec.Raw


_ENCODER = msgspec.msgpack.Encoder()
_QUESTIONS = msgspec.msgpack.Decoder(_Question)
_ANSWERS = msgspec.msgpack.Decoder(_Answer)


class QuestionClient:
    """Asks one process; connects when it first asks, and again after a loss.

    :param address: the other process's :class:`~frames.Address`
    :param answer_type: type of the answers
    """

    __slots__ = (
        '_address',
        '_decoder',
        '_lock',
        '_numbers',
        '_pending',
        '_receiver',
        '_stream',
    )

    def __init__(self, address, answer_type):
        self._address = address
        self._decoder = msgspec.msgpack.Decoder(answer_type)
        self._lock = asyncio.Lock()
        self._numbers = itertools.count(1)
        self._pending = {}
        self._receiver = None
        self._stream = None

    async def ask(self, question, timeout_s):
        """Ask and wait for the answer.

        :raises errors.AnswerLost: if no answer came in time
        :raises errors.ConnectionLost: if it was not asked
        """
        async with self._lock:
            if self._stream is None:
                await self._connect()
        number = next(self._numbers)
        answered = asyncio.get_running_loop().create_future()
        self._pending[number] = answered
        payload = msgspec.Raw(_ENCODER.encode(question))
        try:
            self._stream.send(_ENCODER.encode(_Question(number, payload)))
            async with asyncio.timeout(timeout_s):
                raw = await answered
            return self._decoder.decode(raw)
        except TimeoutError as error:
            self._drop('no answer in time')
            raise errors.AnswerLost('no answer in time') from error
        except msgspec.DecodeError as error:
            raise errors.ProtocolError(f'answer: {error}') from error
        finally:
            self._pending.pop(number, None)

    async def _connect(self):
        stream = await frames.open_stream(self._address, CONNECT_TIMEOUT_S)
        self._stream = stream
        self._receiver = asyncio.create_task(self._receive(stream))

    async def _receive(self, stream):
        reason = 'closed'
        try:
            while True:
                answer = _ANSWERS.decode(await stream.receive())
                waiting = self._pending.get(answer.number)
                if waiting is not None and not waiting.done():
                    waiting.set_result(bytes(answer.payload))
        except (errors.ProtocolError, msgspec.DecodeError) as error:
            reason = str(error)
        finally:
            if self._stream is stream:
                self._drop(reason)

    def _drop(self, reason):
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.abort()
        for waiting in list(self._pending.values()):
            if not waiting.done():
                waiting.set_exception(errors.AnswerLost(reason))

    def close(self):
        """Close the connection; questions that wait fail."""
        if self._receiver is not None:
            self._receiver.cancel()
        self._drop('closed')


async def serve_questions(stream, question_type, answer):
    """Answer the questions of one stream until it ends.

    :param question_type: type of the questions
    :param answer: coroutine function from a question to its answer
    """
    decoder = msgspec.msgpack.Decoder(question_type)
    tasks = set()

    async def respond(number, question):
        payload = msgspec.Raw(_ENCODER.encode(await answer(question)))
        stream.send(_ENCODER.encode(_Answer(number, payload)))

    try:
        while True:
            asked = _QUESTIONS.decode(await stream.receive())
            question = decoder.decode(asked.payload)
            if len(tasks) >= CONCURRENT_MAX:
                return
            task = asyncio.create_task(respond(asked.number, question))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
    except (errors.ProtocolError, msgspec.DecodeError):
        return
    finally:
        for task in list(tasks):
            task.cancel()
