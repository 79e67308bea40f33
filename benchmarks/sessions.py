"""Benchmark of sessions over failing connections, with and without resumption.

``python benchmarks/sessions.py`` sends requests at a fixed rate through a
relay that cuts or silences the connection at a fixed interval. For each
variant it prints how many requests were answered, how many may have run
because their session was lost, how many found no session, and the longest
latency of an answer.
"""

import asyncio
import time

from clementineline.experiments import relay as relays
from clementineline.experiments import slopes
from clementineline.protocol import links
from clementineline.protocol import messages
from clementineline.protocol import session as sessions
from clementineline.standins import ports
from clementineline.transport import frames

__all__ = ['main']

REQUESTS_PER_S = 200
DURATION_S = 12.0
FAILURE_INTERVAL_S = 3.0
ANSWER_DELAY_S = 0.05


class Server(sessions.SessionEvents):
    """Answers each request after ``ANSWER_DELAY_S``."""

    def on_message(self, session, body):
        answer = messages.Done(body.id, 'answered')
        loop = asyncio.get_running_loop()
        loop.call_later(ANSWER_DELAY_S, session.send, answer)


class Client(sessions.SessionEvents):
    """Sends requests and counts their outcomes.

    :ivar answered: number of requests that were answered
    :ivar lost: number of requests whose session was lost before the answer
    :ivar unsent: number of requests that were not sent, as there was no
        session
    :ivar latency_max_s: longest latency of an answer, in seconds
    """

    def __init__(self):
        self.session = None
        self.pending = {}
        self.answered = 0
        self.lost = 0
        self.unsent = 0
        self.latency_max_s = 0.0

    def on_open(self, session):
        self.session = session

    def on_message(self, session, body):
        sent_at = self.pending.pop(body.id)
        self.answered += 1
        self.latency_max_s = max(
            self.latency_max_s, time.monotonic() - sent_at
        )

    def on_lost(self, session):
        # It is unknown whether the pending requests ran.
        self.lost += len(self.pending)
        self.pending.clear()
        self.session = None

    def send(self, number):
        """Send a request if there is a session, or count it as unsent."""
        if self.session is None:
            self.unsent += 1
            return
        self.pending[str(number)] = time.monotonic()
        self.session.send(messages.Cancel(str(number), ''))


async def measure(resume, failure):
    """Run one variant and return its client.

    :param resume: whether a session is kept when its connection ends
    :param failure: ``cut`` or ``silence``: the method of the relay that
        disrupts the connection
    """
    log = slopes.build_null_logger()
    timing = links.LinkTiming(resume=resume)
    server, client = Server(), Client()
    port = ports.find_free_ports(1)[0]
    address = frames.Address('127.0.0.1', port)
    server_member = messages.Member('s', 'sidecar', 1, 1, 'z', str(address))
    client_member = messages.Member('e', 'entry', 1, 1, 'z', 'none')
    listener = links.SessionListener(
        lambda: server_member, server, timing, log
    )
    await listener.start(address)
    relay = relays.Relay(address)
    await relay.start()
    dialler = links.Dialler(
        relay.address, lambda: client_member, client, timing, log
    )
    task = asyncio.create_task(dialler.run())
    while client.session is None:
        await asyncio.sleep(0.01)
    started = time.monotonic()
    failures = 0
    for number in range(int(REQUESTS_PER_S * DURATION_S)):
        due_at = started + number / REQUESTS_PER_S
        await asyncio.sleep(max(0.0, due_at - time.monotonic()))
        if (due_at - started) // FAILURE_INTERVAL_S > failures:
            failures += 1
            getattr(relay, failure)()
        client.send(number)
    await asyncio.sleep(timing.silence_s + 1.0)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await listener.stop()
    await relay.stop()
    return client


async def run():
    """Run all variants and print their figures."""
    total = int(REQUESTS_PER_S * DURATION_S)
    for failure in ('cut', 'silence'):
        for resume in (True, False):
            client = await measure(resume, failure)
            name = 'resumed' if resume else 'not resumed'
            print(
                f'{failure}, {name}: {client.answered} of {total} answered, '
                f'{client.lost} may have run, {client.unsent} found no '
                f'session, longest answer {client.latency_max_s:.3f} s'
            )


def main():
    """Run the benchmark and print its figures."""
    asyncio.run(run())


if __name__ == '__main__':
    main()
