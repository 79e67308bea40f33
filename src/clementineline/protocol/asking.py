"""Request-response exchange between processes: questions and answers.

Each question gets one answer, and a client sends all its questions over one
connection. Most questions change nothing and can be asked again if an answer
is lost; the outcome of the others, such as relayed writes, is then unknown.
Neither case would benefit from resumable sessions, so they are not used here.
"""

import asyncio
import itertools

import msgspec

from clementineline import errors
from clementineline.transport import frames

__all__ = ['QuestionClient', 'serve_questions']

CONNECT_TIMEOUT_S = 0.5
MAX_CONCURRENT_QUESTIONS = 512


class _Question(msgspec.Struct, array_like=True):
    number: int
    payload: msgspec.Raw


class _Answer(msgspec.Struct, array_like=True):
    number: int
    payload: msgspec.Raw


_ENCODER = msgspec.msgpack.Encoder()
_QUESTION_DECODER = msgspec.msgpack.Decoder(_Question)
_ANSWER_DECODER = msgspec.msgpack.Decoder(_Answer)


class QuestionClient:
    """Sends questions to one process and awaits the answers.

    Connects with the first question, and with the next question after the
    connection was lost.

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
        """Send a question and wait for the answer.

        :param question: the question, a msgspec struct
        :param timeout_s: longest wait for the answer, in seconds; after
            it the connection is dropped and all pending questions fail
        :raises errors.AnswerLost: if the question was sent, but no answer
            arrived in time
        :raises errors.ConnectionLost: if the question was not sent
        :raises errors.ProtocolError: if the answer is malformed
        """
        async with self._lock:
            if self._stream is None:
                await self._connect()
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._pending[number] = future
        payload = msgspec.Raw(_ENCODER.encode(question))
        try:
            self._stream.send(_ENCODER.encode(_Question(number, payload)))
            async with asyncio.timeout(timeout_s):
                raw = await future
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
                answer = _ANSWER_DECODER.decode(await stream.receive())
                future = self._pending.get(answer.number)
                if future is not None and not future.done():
                    future.set_result(bytes(answer.payload))
        except (errors.ProtocolError, msgspec.DecodeError) as error:
            reason = str(error)
        finally:
            if self._stream is stream:
                self._drop(reason)

    def _drop(self, reason):
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.abort()
        for future in list(self._pending.values()):
            if not future.done():
                future.set_exception(errors.AnswerLost(reason))

    def close(self):
        """Close the connection and fail the pending questions."""
        if self._receiver is not None:
            self._receiver.cancel()
        self._drop('closed')


async def serve_questions(stream, question_type, answer):
    """Answer the questions that arrive on a stream until it ends.

    Also returns on a malformed question, and on one that exceeds
    ``MAX_CONCURRENT_QUESTIONS``; either way, unfinished answers are cancelled.

    :param stream: a :class:`~frames.FrameStream`
    :param question_type: type of the questions
    :param answer: coroutine function that returns the answer to a question
    """
    decoder = msgspec.msgpack.Decoder(question_type)
    tasks = set()

    async def send_answer(number, question):
        payload = msgspec.Raw(_ENCODER.encode(await answer(question)))
        stream.send(_ENCODER.encode(_Answer(number, payload)))

    try:
        while True:
            envelope = _QUESTION_DECODER.decode(await stream.receive())
            question = decoder.decode(envelope.payload)
            if len(tasks) >= MAX_CONCURRENT_QUESTIONS:
                return
            task = asyncio.create_task(send_answer(envelope.number, question))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
    except (errors.ProtocolError, msgspec.DecodeError):
        return
    finally:
        for task in list(tasks):
            task.cancel()
