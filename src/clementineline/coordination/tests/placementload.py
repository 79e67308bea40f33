"""Load on which placements are compared, without a network.

``python -m clementineline.coordination.tests.placementload`` prints the table
of docs/design/costs.md. A quarter of the endpoints have a speed of 0.55, the
others of 1.2, and a noisy neighbour slows each one down 2.5 times for 600 ms,
15 % of the time.
"""

import collections
import heapq
import itertools
import logging
import random
import statistics

import structlog

from clementineline.coordination import completion
from clementineline.coordination import costs
from clementineline.coordination import directory
from clementineline.coordination import endpointchoice
from clementineline.coordination import itemplacement
from clementineline.coordination import itemruns
from clementineline.coordination import placement
from clementineline.state import dialect
from clementineline.state import directory as records
from clementineline.state import submissions

SLOW, FAST = 0.55, 1.2
CALL_S, CALL_SLOTS, HEDGE_S = 0.025, 6, 0.55 * 0.19
NOISE_S, NOISE_SHARE, NOISE_FACTOR = 0.6, 0.15, 2.5
EVENT_S, EVENT_TOKENS = 0.04, 4
TICK_S = 0.02
GROUP_ITEMS = 8
POLICIES = (
    'least loaded',
    'two random choices',
    'fewest outstanding',
    'least work left',
    'expected completion',
)


def build_state(name, slots, service='lm'):
    return directory.EndpointState(
        records.EndpointRecord(
            name, service, '10.0.0.1:80', 'a', slots, False, 0.0, {'m0': 1}, 0
        )
    )


class Noise:
    """Times at which neighbours slow an endpoint down."""

    def __init__(self, draw):
        self._draw = draw
        self._since = self._until = 0.0

    def get_factor(self, now):
        while now >= self._until:
            quiet_s = NOISE_S * (1 / NOISE_SHARE - 1)
            wait_s = self._draw.expovariate(1 / quiet_s)
            self._since = self._until + wait_s
            self._until = self._since + NOISE_S
        return NOISE_FACTOR if now >= self._since else 1.0


def draw_speeds(count, draw):
    speeds = [SLOW] * (count // 4) + [FAST] * (count - count // 4)
    draw.shuffle(speeds)
    return speeds


class OrderedRuns(dict):
    """A set of runs with the same order in each play of a seed."""

    def add(self, run):
        self[run] = True

    def discard(self, run):
        self.pop(run, None)


def draw_length(draw):
    """Draw a length: a factor of ten, and 8 % five times the median."""
    if draw.random() < 0.08:
        return 630
    return int(40 * 10 ** draw.random())


class ItemLoad:
    """Steps of items on engines with slots, one after another.

    A step ends when 90 % of its groups are complete; the next one begins, and
    the items that are left run on.

    :param groups: number of groups of a step
    :param trouble: ``wrong hints`` for hints that are short for long items,
        ``changed speeds`` for engines whose lasting speeds change halfway
    """

    def __init__(self, policy, engines, seed, groups=20, trouble=''):
        self.draw = random.Random(seed)
        self.chooser = random.Random(seed + 1)
        self.policy = policy
        self.groups = groups
        self.trouble = trouble
        self.states = [build_state(f'e{n:02d}', 8) for n in range(engines)]
        for state in self.states:
            state.item_runs = OrderedRuns()
        self.speeds = draw_speeds(engines, self.draw)
        self.noise = [Noise(self.draw) for _ in self.states]
        self.model = completion.CompletionModel(
            lambda service: self.states,
            'a',
            structlog.get_logger(),
            policy == POLICIES[-1],
        )
        self.now = 0.0
        self.waiting = []
        self.lengths = {}
        self.progress = {}

    def submit(self, step):
        runs = []
        for number in range(self.groups * GROUP_ITEMS):
            length = draw_length(self.draw)
            hint = length * self.draw.lognormvariate(0, 0.4)
            if self.trouble == 'wrong hints':
                hint = 16_000 / length
            item = submissions.Item(
                f'{step}.{number}', '/', (), b'', 0,
                f'{step}.{number // GROUP_ITEMS}', hint, 100,
            )  # fmt: skip
            run = itemruns.ItemRun(item, kind=('batch', 'm0'))
            self.lengths[item.id] = length
            self.progress[run] = 0.0
            runs.append(run)
        self.waiting.extend(placement.sort_waiting_runs(runs))

    def start_waiting(self):
        view = self.model.find_view('lm', self.now)
        if view is None:
            placer = placement.EngineShortlist(self.states, 'm0', 1, self.now)
        else:
            placer = itemplacement.ItemPlacer(
                self.states, 'm0', 1, self.now, None, view, self.model,
                self.model.get_event_s('batch', 'm0'), EVENT_TOKENS,
            )  # fmt: skip
        still_waiting = []
        for run in self.waiting:
            if isinstance(placer, itemplacement.ItemPlacer):
                choice = placer.choose(run, run.avoid)
                state = choice.state if choice else None
                if placer.waits and run.waits_since is None:
                    run.waits_since = self.now
            elif self.policy in POLICIES[1:4]:
                state = self.choose_simply(run)
            else:
                state = placer.choose(run.avoid)
            if state is None:
                still_waiting.append(run)
                continue
            run.state, run.started_at, run.waits_since = state, self.now, None
            state.item_runs.add(run)
        self.waiting = still_waiting

    def choose_simply(self, run):
        free = []
        for state in self.states:
            if len(state.item_runs) < 8 and state.id not in run.avoid:
                free.append(state)
        if not free:
            return None
        if self.policy == 'two random choices':
            free = [self.chooser.choice(free) for _ in range(2)]
        if self.policy == 'least work left':
            return min(free, key=self.count_work)
        return min(free, key=lambda state: len(state.item_runs))

    def count_work(self, state):
        work = 0.0
        for run in state.item_runs:
            estimate = self.model.costs.estimate(
                run.kind, run.item.length_hint
            )
            work += costs.remaining(estimate, self.progress[run])
        return work

    def tick(self):
        """Generate for a while, and move runs off slow engines as now."""
        self.now += TICK_S
        ended = []
        for state, speed, noise in zip(
            self.states, self.speeds, self.noise, strict=True
        ):
            rate = speed / noise.get_factor(self.now)
            if state.item_runs:
                state.update_pace(EVENT_S / rate, self.now)
                if self.now % 0.5 < TICK_S:
                    self.model.observe_pace(
                        state, 'batch', 'm0', EVENT_S / rate, self.now
                    )
            for run in list(state.item_runs):
                self.progress[run] += TICK_S * rate / EVENT_S * EVENT_TOKENS
                events = int(self.progress[run] // EVENT_TOKENS)
                run.texts = range(events)
                if self.progress[run] >= self.lengths[run.item.id]:
                    state.item_runs.discard(run)
                    ended.append(run)
                    self.model.learn_item(
                        'lm', 'batch', 'm0', run.item.length_hint,
                        self.lengths[run.item.id],
                    )  # fmt: skip
        if not self.waiting and self.now % 0.1 < TICK_S:
            self.move_off_slow_engines()
        self.start_waiting()
        return ended

    def move_off_slow_engines(self):
        placement.update_slow_since(self.states, self.now)
        for state in self.states:
            for run in list(state.item_runs):
                if run.moves >= 3 or self.now - run.started_at < 0.5:
                    continue
                if placement.has_faster_engine(
                    state, self.states, 'm0', 1, self.now
                ):
                    run.moves += 1
                    run.avoid.add(state.id)
                    state.item_runs.discard(run)
                    self.waiting.append(run)
                    self.start_waiting()

    def run_steps(self, count, skipped=2):
        """Return the duration of each step after the first ones."""
        durations = []
        for step in range(count):
            if self.trouble == 'changed speeds' and step == count // 2:
                # The slow engines become fast, and as many others slow.
                self.speeds.reverse()
            began = self.now
            self.submit(step)
            self.start_waiting()
            left = collections.Counter()
            for number in range(self.groups):
                left[f'{step}.{number}'] = GROUP_ITEMS
            complete = 0
            while complete < 0.9 * self.groups:
                for run in self.tick():
                    left[run.item.group] -= 1
                    if left[run.item.group] == 0:
                        complete += 1
            durations.append(self.now - began)
        return durations[skipped:]


class CallLoad:
    """Live calls of several gateways to four endpoints.

    A call is hedged once, and the slower attempt is cancelled. A response says
    how many requests run and wait at its endpoint.
    """

    def __init__(self, policy, seed, utilisation=0.5, trouble=''):
        self.draw = random.Random(seed)
        self.chooser = random.Random(seed + 1)
        # For the ties of placement by load.
        random.seed(seed)
        self.policy = policy
        self.trouble = trouble
        self.speeds = draw_speeds(4, self.draw)
        self.noise = [Noise(self.draw) for _ in range(4)]
        self.rate = utilisation * sum(self.speeds) * CALL_SLOTS / CALL_S
        self.gateways = []
        for _ in range(14):
            states = [build_state(f'e{n}', CALL_SLOTS) for n in range(4)]
            model = completion.CompletionModel(
                lambda service, states=states: states,
                'a',
                structlog.get_logger(),
            )
            self.gateways.append((states, model))
        self.running = [set() for _ in range(4)]
        self.queued = [collections.deque() for _ in range(4)]
        self.events = []
        self.order = itertools.count()
        self.latencies = []

    def push(self, at, handle, *arguments):
        entry = (at, next(self.order), handle, arguments)
        heapq.heappush(self.events, entry)

    def run(self, duration_s, skipped_s=20.0):
        """Return the sorted latencies of the calls after the first ones."""
        self.push(0.0, self.arrive)
        while self.events:
            now, _, handle, arguments = heapq.heappop(self.events)
            if now > duration_s:
                break
            if self.trouble and now > duration_s / 2:
                self.speeds.reverse()
                self.trouble = ''
            handle(now, *arguments)
        return sorted(t for at, t in self.latencies if at > skipped_s)

    def arrive(self, now):
        self.push(now + self.draw.expovariate(self.rate), self.arrive)
        work_s = CALL_S / 1.32 * self.draw.lognormvariate(-0.045, 0.3)
        if self.draw.random() < 0.08:
            work_s *= 5
        call = {
            'at': now,
            'work_s': work_s,
            'gateway': self.draw.randrange(len(self.gateways)),
            'attempts': [],
        }
        self.send(now, call)
        self.push(now + HEDGE_S, self.send, call)

    def send(self, now, call):
        if 'done' in call:
            return
        states, model = self.gateways[call['gateway']]
        tried = [states[index].id for index, _ in call['attempts']]
        state = self.choose(states, model, tried, now)
        index = states.index(state)
        attempt = (index, now)
        call['attempts'].append(attempt)
        state.in_flight += 1
        state.open_calls[id(call)] = now
        self.queued[index].append((call, attempt))
        self.start(now, index)

    def choose(self, states, model, tried, now):
        others = [state for state in states if state.id not in tried]
        if self.policy == 'two random choices':
            others = [self.chooser.choice(others) for _ in range(2)]
        if self.policy in POLICIES[1:3]:
            return min(
                others,
                key=lambda state: (state.in_flight, self.chooser.random()),
            )
        if self.policy == 'least work left':
            view = completion.ServiceView({}, True, now)
            estimate = model.costs.estimate(('call', 'r'))

            def count_work(state):
                _, ahead = completion.estimate_call(
                    state, view, estimate, 'a', now
                )
                return ahead, self.chooser.random()

            return min(others, key=count_work)
        if self.policy != 'expected completion':
            model = None
        return endpointchoice.place_call(
            model, 'lm', 'r', states, tried, 'a', now
        )[0]

    def start(self, now, index):
        while self.queued[index] and len(self.running[index]) < CALL_SLOTS:
            call, attempt = self.queued[index].popleft()
            if 'done' in call:
                continue
            self.running[index].add(attempt)
            rate = self.speeds[index] / self.noise[index].get_factor(now)
            self.push(
                now + call['work_s'] / rate, self.complete, call, attempt
            )

    def complete(self, now, call, attempt):
        index = attempt[0]
        if attempt not in self.running[index]:
            return
        self.running[index].discard(attempt)
        if 'done' not in call:
            call['done'] = now
            self.latencies.append((call['at'], now - call['at']))
            self.respond(now, call, attempt)
        self.start(now, index)

    def respond(self, now, call, answered):
        states, model = self.gateways[call['gateway']]
        for attempt in call['attempts']:
            index, sent_at = attempt
            state = states[index]
            state.in_flight -= 1
            state.open_calls.pop(id(call), None)
            took_s = now - sent_at
            if attempt != answered:
                model.observe_call(state, 'r', took_s, now, cancelled=True)
                self.running[index].discard(attempt)
                self.start(now, index)
                continue
            waiting = len(self.queued[index])
            facts = dialect.ReplyFacts(
                '', False, 's', len(self.running[index]), waiting,
                self.noise[index].get_factor(now), None,
            )  # fmt: skip
            state.update_load(facts, now)
            if not completion.may_have_waited(facts, CALL_SLOTS):
                model.observe_call(state, 'r', took_s, now)


def print_items():
    """Print the durations of steps."""
    for engines, groups in ((22, 20), (11, 20), (11, 50)):
        for trouble in ('', 'wrong hints', 'changed speeds'):
            for policy in POLICIES:
                taken = []
                for seed in range(8):
                    load = ItemLoad(policy, engines, seed, groups, trouble)
                    taken += load.run_steps(12)
                print(
                    f'items, {engines} engines, {groups} groups, '
                    f'{trouble or "as estimated"}, {policy}: '
                    f'mean {statistics.mean(taken):.2f} s, standard error '
                    f'{statistics.stdev(taken) / len(taken) ** 0.5:.2f}, '
                    f'p90 {sorted(taken)[int(0.9 * len(taken))]:.2f}',
                    flush=True,
                )


def print_calls():
    """Print the latencies of calls."""
    for utilisation in (0.3, 0.5, 0.7):
        for trouble in ('', 'changed speeds'):
            for policy in POLICIES:
                taken = []
                for seed in range(4):
                    load = CallLoad(policy, seed, utilisation, trouble)
                    taken += load.run(80)
                taken.sort()
                print(
                    f'calls, {utilisation:.0%} used, '
                    f'{trouble or "as estimated"}, {policy}: '
                    f'mean {statistics.mean(taken) * 1000:.1f} ms, '
                    f'p90 {taken[int(0.9 * len(taken))] * 1000:.0f}, '
                    f'p99 {taken[int(0.99 * len(taken))] * 1000:.0f}',
                    flush=True,
                )


if __name__ == '__main__':
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    print_items()
    print_calls()
