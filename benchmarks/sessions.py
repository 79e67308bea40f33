"""Sessions with and without resumption, over connections that break.

``python benchmarks/sessions.py`` sends requests at a fixed rate through a
relay that cuts, or silences, the connection at fixed times, and prints what
was lost and how long answers stayed away.
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

RATE = 200
DURATION_S = 12.0
BREAK_EVERY_S = 3.0
WORK_S = 0.05


class Server(sessions.SessionEvents):
    """Answers each request after a while."""

    def on_message(self, session, body):
        answer = messages.Done(body.id, 'answered')
        loop = asyncio.get_running_loop()
        loop.call_later(WORK_S, session.send, answer)


class Client(sessions.SessionEvents):
    """Sends requests and counts what becomes of them."""

    def __init__(self):
        self.session = None
        self.open = {}
        self.answered = 0
        self.lost = 0
        self.unsent = 0
        self.longest_s = 0.0

    def on_open(self, session):
        self.session = session

    def on_message(self, session, body):
        sent_at = self.open.pop(body.id)
        self.answered += 1
        self.longest_s = max(self.longest_s, time.monotonic() - sent_at)

    def on_lost(self, session):
        # Nobody can say whether these ran.
        self.lost += len(self.open)
        self.open.clear()
        self.session = None

    def send(self, number):
        """Send one request, if there is a session."""
        if self.session is None:
            self.unsent += 1
            return
        self.open[str(number)] = time.monotonic()
        self.session.send(messages.Cancel(str(number), ''))


async def measure(resume, failure):
    """Run one variant and return its client."""
    log = slopes.build_null_logger()
    timing = links.LinkTiming(resume=resume)
    server, client = Server(), Client()
    port = ports.find_free_ports(1)[0]
    address = frames.Address('127.0.0.1', port)
    member = messages.Member('s', 'sidecar', 1, 1, 'z', str(address))
    own = messages.Member('e', 'entry', 1, 1, 'z', 'none')
    listener = links.SessionListener(lambda: member, server, timing, log)
    await listener.start(address)
    relay = relays.Relay(address)
    await relay.start()
    dialler = links.Dialler(relay.address, lambda: own, client, timing, log)
    task = asyncio.create_task(dialler.run())
    while client.session is None:
        await asyncio.sleep(0.01)
    started = time.monotonic()
    breaks = 0
    for number in range(int(RATE * DURATION_S)):
        at = started + number / RATE
        await asyncio.sleep(max(0.0, at - time.monotonic()))
        if (at - started) // BREAK_EVERY_S > breaks:
            breaks += 1
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
    total = int(RATE * DURATION_S)
    for failure in ('cut', 'silence'):
        for resume in (True, False):
            client = await measure(resume, failure)
            name = 'resumed' if resume else 'not resumed'
            print(
                f'{failure}, {name}: {client.answered} of {total} answered, '
                f'{client.lost} may have run, {client.unsent} found no '
                f'session, longest answer {client.longest_s:.3f} s'
            )


def main():
    """Measure and print."""
    asyncio.run(run())


if __name__ == '__main__':
    main()
