"""Random faults, from outside of the processes."""

import asyncio
import random
import signal

from clementineline.platform.tests.soak import checks
from clementineline.platform.tests.soak import load
from clementineline.platform.tests import untrusted

__all__ = ['FaultInjector']

GAP_S = (0.3, 1.6)
DURATION_S = (0.3, 4.0)
# Requests a second that endpoints take, and the shortest time of their limit,
# of which the first seconds do not count.
LIMIT_RATE = (0.5, 2.0)
# Well above the time after which an endpoint that says so gets no requests.
LEAVE_MIN_S = 4.0
LIMIT_MIN_S = 8.0
LIMIT_CHECK_S = 0.1
# Longer than the lease, so that another keeper leads meanwhile.
LEADER_PAUSE_S = 4.5
# Time within which a leader orders a named version.
ORDER_MAX_S = 0.3
HELD_KINDS = ('results-', 'results-', 'lease', 'submissions', '')
# Writes of results that stay without an answer, and the time until they take
# effect. A write is also tried through other processes meanwhile.
UNANSWERED_WRITES = 40
UNANSWERED_S = (1.5, 4.0)
# Statuses with which a server fails requests that it ran, statuses of refusals
# among them, and statuses that HTTP does not define.
FAILURES = (408, 429, 500, 503)
UNDEFINED = (0, 99, 101, 199, 600, 999)
# Share of the wrong answers that are such failures.
FAILED_SHARE = 0.5
# Statuses of a write that leave open what the store has done.
UNCERTAIN = (302, 500, 502)
STOP_TIMEOUT_S = 20.0
# The exit code after a stop signal.
CODE_STOPPED = 0


def _build_answer(status):
    """Return a signed response; ``%s`` stands for the request's id."""
    return (
        b'HTTP/1.1 %03d X\r\nRequest-Id: %%s\r\nServer-Stamp: s\r\n'
        b'Connection: close\r\nContent-Length: 4\r\n\r\nevil'
    ) % status


def _replace_by_folder(path):
    """Put a folder where a file is, however often a keeper writes it again."""
    while not path.is_dir():
        path.unlink(missing_ok=True)
        try:
            path.mkdir()
        except FileExistsError:
            # The keeper, another process, has created the file in between.
            continue


class FaultInjector:
    """Injects overlapping faults and ends each of them.

    :param fleet: the :class:`~fleet.Fleet`
    :param recorder: the :class:`~checks.Recorder`
    :param rng: random number generator; the same seed gives the same faults
    :ivar injected: ``(seconds, fault, target)`` of each fault
    """

    def __init__(self, fleet, recorder, rng):
        self._fleet = fleet
        self._recorder = recorder
        self._rng = rng
        # Processes that have a fault of their own.
        self._busy = set()
        self.injected = []

    async def run(self, duration_s):
        """Inject faults for some time, then wait until all have ended."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        kinds = self._list_kinds()
        # Each one comes once before any comes again.
        order = []
        async with asyncio.TaskGroup() as group:
            while loop.time() - started < duration_s:
                if not order:
                    order = self._rng.sample(kinds, len(kinds))
                inject, targets = order.pop()
                left_s = self._rng.uniform(*DURATION_S)
                target = self._rng.choice(targets)
                self.injected.append(
                    (
                        round(loop.time() - started, 2),
                        inject.__name__,
                        target,
                        round(left_s, 2),
                    )
                )
                # The draws of a fault must not change those of later ones.
                rng = random.Random(self._rng.random())
                group.create_task(inject(target, left_s, rng))
                await asyncio.sleep(self._rng.uniform(*GAP_S))

    async def let_servers_leave(self, stopping, rng):
        """Let one endpoint after the other say that it leaves.

        The draws are independent of those of the other faults.

        :param stopping: event that ends it
        :param rng: random number generator
        """
        servers = self._fleet.servers
        names = [name for name in sorted(servers) if 'desk' in name]
        while not await load.is_set_within(stopping, rng.uniform(*GAP_S)):
            await self._leave(rng.choice(names), rng.uniform(*DURATION_S))

    async def crowd_gateways(self, stopping, rng):
        """Let untrusted clients use one gateway after the other.

        None of their requests is complete, so none may run.

        :param stopping: event that ends it
        :param rng: random number generator
        """
        while not await load.is_set_within(stopping, rng.uniform(*GAP_S)):
            send = rng.choice(untrusted.UNFINISHED)
            address = self._fleet.get_http_address(
                rng.choice(self._fleet.gateways)
            )
            opened = await send(address, f'{address.host}0')
            await load.is_set_within(stopping, rng.uniform(*DURATION_S))
            for _, writer in opened:
                writer.transport.abort()

    async def answer_wrongly(self, stopping, rng):
        """Let endpoints and the store answer with statuses that state nothing.

        The draws are independent of those of the other faults.

        :param stopping: event that ends it
        :param rng: random number generator
        """
        names = sorted(self._fleet.servers)
        store = self._fleet.store
        while not await load.is_set_within(stopping, rng.uniform(*GAP_S)):
            server = self._fleet.servers[rng.choice(names)]
            if rng.random() < FAILED_SHARE:
                server.fail_status = rng.choice(FAILURES)
                server.fail_next += 3
            else:
                server.raw_answer = _build_answer(rng.choice(UNDEFINED))
            store.raw_write_answers = [_build_answer(rng.choice(UNCERTAIN))]
            await load.is_set_within(stopping, rng.uniform(*DURATION_S) / 2)
            server.raw_answer = b''
        store.raw_write_answers = []

    def _list_kinds(self):
        """Return pairs of a fault and the names that it may be for."""
        processes, keepers = self._fleet.names, self._fleet.keepers
        servers = sorted(self._fleet.servers)
        engines = [name for name in servers if name.startswith('i-lm')]
        desks = [name for name in servers if name.startswith('i-desk')]
        return [
            (self.kill_process, processes),
            (self.stop_process, processes),
            (self.pause_process, processes),
            # More often, since a stale leader acts only for a moment.
            (self.pause_leader, keepers),
            (self.pause_leader, keepers),
            (self.hang_up, processes),
            (self.kill_all_keepers, keepers),
            (self.silence_store_for_one, processes),
            (self.refuse_store_for_some, processes),
            (self.delay_store, processes),
            (self.refuse_calls_to_store, processes),
            (self.lose_writes, processes),
            (self.hold_writes, processes),
            (self.apply_unanswered, processes),
            (self.drop_history, processes),
            (self.fail_disk, keepers),
            (self.tear_disk, keepers),
            (self.fail_server, servers),
            (self.shed_server, servers),
            (self.lose_answers, desks),
            (self.break_stream, engines),
            (self.silence_server, servers),
            (self.cut_server, servers),
            (self.limit_service, servers),
            (self.name_version, servers),
            (self.change_routes, processes),
        ]

    def _reserve(self, name):
        """Reserve a process for a fault; one gateway stays without any.

        :returns: whether the process has no other fault
        """
        if name in self._busy:
            return False
        idle = set(self._fleet.gateways) - self._busy - {name}
        if name in self._fleet.gateways and not idle:
            return False
        self._busy.add(name)
        return True

    # Processes.

    async def kill_process(self, name, left_s, rng):
        if not self._reserve(name):
            return
        self._fleet.kill(name)
        await asyncio.sleep(left_s)
        self._fleet.restart(name)
        self._busy.discard(name)

    async def kill_all_keepers(self, name, left_s, rng):
        names = [name for name in self._fleet.keepers if self._reserve(name)]
        for name in names:
            self._fleet.kill(name)
        await asyncio.sleep(left_s / 2)
        for name in names:
            self._fleet.restart(name)
            self._busy.discard(name)

    async def stop_process(self, name, left_s, rng):
        # A signal before the handlers are set ends the process by default.
        if not self._fleet.has_started(name) or not self._reserve(name):
            return
        self._fleet.stopped.add(name)
        code = await self._fleet.group.terminate(name, STOP_TIMEOUT_S)
        if code != CODE_STOPPED:
            self._recorder.report(
                'planned stops', f'{name} ended with {code} after a signal'
            )
            self._fleet.kill(name)
        self._fleet.restart(name)
        self._busy.discard(name)

    async def pause_process(self, name, left_s, rng):
        if not self._reserve(name):
            return
        self._fleet.note_disturbance(name)
        self._fleet.group.send_signal(name, signal.SIGSTOP)
        await asyncio.sleep(left_s)
        self._fleet.group.send_signal(name, signal.SIGCONT)
        self._busy.discard(name)

    async def pause_leader(self, name, left_s, rng):
        """Pause the leader for longer than its lease, with orders due."""
        lease = self._fleet.store.get_spec('lease', 'leader')
        leader = lease['holder'] if lease else ''
        if leader not in self._fleet.keepers or not self._reserve(leader):
            return
        await self.name_version(name, left_s, rng)
        await asyncio.sleep(rng.uniform(0.0, ORDER_MAX_S))
        self._fleet.group.send_signal(leader, signal.SIGSTOP)
        await asyncio.sleep(LEADER_PAUSE_S + left_s / 2)
        await self.name_version(name, left_s, rng)
        self._fleet.group.send_signal(leader, signal.SIGCONT)
        self._busy.discard(leader)

    async def hang_up(self, name, left_s, rng):
        if name not in self._busy:
            self._fleet.group.send_signal(name, signal.SIGHUP)

    # The store.

    async def silence_store_for_one(self, name, left_s, rng):
        directions = rng.choice([('to',), ('from',), ('to', 'from')])
        self._fleet.store_relays[name].silence(directions)

    async def refuse_store_for_some(self, name, left_s, rng):
        relays = [
            self._fleet.store_relays[name],
            rng.choice(list(self._fleet.store_relays.values())),
        ]
        for path in relays:
            path.refuses = True
            path.cut()
        await asyncio.sleep(left_s)
        for path in relays:
            path.refuses = False

    async def delay_store(self, name, left_s, rng):
        for path in self._fleet.store_relays.values():
            path.delay_s = 0.1
        await asyncio.sleep(left_s)
        for path in self._fleet.store_relays.values():
            path.delay_s = 0.0

    async def refuse_calls_to_store(self, name, left_s, rng):
        self._fleet.store.down = True
        await asyncio.sleep(left_s)
        self._fleet.store.down = False

    async def lose_writes(self, name, left_s, rng):
        self._fleet.store.lose_writes += 3

    async def hold_writes(self, name, left_s, rng):
        """Let some writes take effect later, without an answer."""
        store = self._fleet.store
        store.hold_kind = rng.choice(HELD_KINDS)
        store.hold_writes += 2
        await asyncio.sleep(left_s)
        store.hold_writes = 0
        store.apply_held_writes()

    async def apply_unanswered(self, name, left_s, rng):
        """Let writes of results take effect late, in order, unanswered.

        Their writer meets them when it writes again, with more results.
        """
        store = self._fleet.store
        if store.hold_writes or store.held_writes:
            return
        store.hold_kind = 'results-'
        store.hold_writes = UNANSWERED_WRITES
        await asyncio.sleep(rng.uniform(*UNANSWERED_S))
        store.hold_writes = 0
        store.apply_held_writes()

    async def drop_history(self, name, left_s, rng):
        self._fleet.store.forget_history()

    # Disks.

    async def fail_disk(self, name, left_s, rng):
        """Put folders where the files of texts are."""
        disk = self._fleet.get_disk(name)
        for number in (0, 1):
            path = disk / f'texts.{number}'
            _replace_by_folder(path)
        await asyncio.sleep(left_s)
        for number in (0, 1):
            path = disk / f'texts.{number}'
            if path.is_dir():
                path.rmdir()

    async def tear_disk(self, name, left_s, rng):
        """Kill a keeper and leave the last record of its texts torn."""
        if not self._reserve(name):
            return
        self._fleet.kill(name)
        for path in self._fleet.get_disk(name).glob('texts.*'):
            if path.is_file():
                path.write_bytes(path.read_bytes()[:-7])
        self._fleet.restart(name)
        self._busy.discard(name)

    # Endpoints.

    async def fail_server(self, name, left_s, rng):
        server = self._fleet.servers[name]
        server.fail_status = rng.choice(FAILURES)
        server.fail_next += 5

    async def shed_server(self, name, left_s, rng):
        self._fleet.servers[name].shed = True
        await asyncio.sleep(left_s)
        self._fleet.servers[name].shed = False

    async def lose_answers(self, name, left_s, rng):
        self._fleet.servers[name].lose_answers += 2

    async def break_stream(self, name, left_s, rng):
        self._fleet.servers[name].break_after = 2

    async def silence_server(self, name, left_s, rng):
        directions = rng.choice([('to',), ('from',), ('to', 'from')])
        self._fleet.server_relays[name].silence(directions)

    async def cut_server(self, name, left_s, rng):
        path = self._fleet.server_relays[name]
        path.refuses = True
        path.cut()
        await asyncio.sleep(left_s)
        path.refuses = False

    async def limit_service(self, name, left_s, rng):
        """Let all endpoints of a service name a limit of requests."""
        service = name.rstrip('0123456789')
        servers = [
            server
            for server in self._fleet.servers.values()
            if server.name.startswith(service)
        ]
        if any(server.rate_limit is not None for server in servers):
            return
        for server in servers:
            server.rate_limit = rng.uniform(*LIMIT_RATE)
        loop = asyncio.get_running_loop()
        started = loop.time()
        await asyncio.sleep(LIMIT_MIN_S + left_s)
        for server in servers:
            self._recorder.limits.append(
                checks.Limit(server, server.rate_limit, started, loop.time())
            )
            server.rate_limit = None

    async def _leave(self, name, left_s):
        """Let an endpoint say that it leaves; its entry stays ready.

        Another instance follows under the same id.
        """
        server = self._fleet.servers[name]
        server.leaving = (b'1',)
        loop = asyncio.get_running_loop()
        started = loop.time()
        await asyncio.sleep(LEAVE_MIN_S + left_s)
        # Each instance names a limit of its own, which is not known before
        # its first answer.
        while server.rate_limit is not None:
            await asyncio.sleep(LIMIT_CHECK_S)
        self._recorder.departures.append(
            checks.Departure(server, started, loop.time())
        )
        server.leaving = ()
        entry = self._fleet.store.get_spec('servers', name)
        self._fleet.store.put(
            'servers', name, {**entry, 'born': entry['born'] + 1}
        )

    # The operator and trainers.

    async def name_version(self, name, left_s, rng):
        current = self._fleet.store.get_spec('versions', 'm0')
        version = current['version'] + 1 if current else 2
        self._fleet.store.put(
            'versions', 'm0', {'model': 'm0', 'version': version}
        )

    async def change_routes(self, name, left_s, rng):
        self._fleet.change_routes()
