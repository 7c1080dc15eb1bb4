"""What callers and targets saw, and the promises that it must keep."""

import math
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import Enum

# Configurations are in force this long after the store took them, and targets
# may be sent requests this long after their drain was acknowledged.
APPLY_SECONDS = 2.0
DRAIN_SECONDS = 2.0
# A limit that a target names binds the nodes that passed it on this long ago,
# from some seconds after the first naming on.
TOLD_SECONDS = 0.5
WINDOW_SECONDS = 4.0
WINDOW_TOLERANCE = 1.5
WINDOW_SLACK = 5
SETTLED_SECONDS = 3.0  # bounds in time hold this long after the last fault
# The bound on requests to a cold target in any second, of all nodes.
COLD_RATE = 6.0
MOST_COLD_IN_SECOND = COLD_RATE * 1.5 + 8
EVACUATE_SECONDS = 5.0
MEMORY_MB = 300  # of a process, on the smallest hosts
GIVEN_UP = frozenset((502, 504))
TIME_LIMIT_SECONDS = 1.9  # a little less than that of the routes
# A stop may give up what was sent in its first seconds and is still at work in
# the last part of its grace period.
LATEST_SENT_SECONDS = 3.0
WORK_SHARE = 5 / 6
NOT_RUN = frozenset((408, 421, 429, 503))
DENIED = frozenset((400, 401, 403, 404))
LOST_SECONDS = 0.2  # a request on a closed connection may be this old unread
LEAST_CALM_SHARE = 0.95  # of requests answered in the calm at the end
# Runs of an organisation in a window, over what its rate and burst give; a run
# starts some time after its request was admitted.
RATE_WINDOW_SECONDS = 5.0
RATE_TOLERANCE = 1.1


class Build(Enum):
    """Which sources a node runs."""

    CURRENT = 'current build'
    EARLIER = 'earlier build'


@dataclass(frozen=True, slots=True)
class Rate:
    """The requests a second, and the burst, that a key may send."""

    per_second: float
    burst: float


@dataclass(frozen=True, slots=True)
class Sent:
    """A request of a caller; ``status`` 0 stands for a cut connection."""

    request_id: str
    node: int
    sent_at: float
    may_repeat: bool
    key: str
    status: int
    is_whole: bool
    answered_at: float = math.inf


@dataclass(frozen=True, slots=True)
class Cut:
    """A request whose connection was closed before its answer."""

    request_id: str
    node: int
    sent_at: float
    cut_at: float


@dataclass(slots=True)
class Limit:
    """A limit of requests a second that a target named for some time."""

    target: str
    rate: float
    named_at: float
    lifted_at: float = math.inf


@dataclass(frozen=True, slots=True)
class ColdTime:
    """A time in which a target is cold and its guard knows it."""

    target: str
    since: float
    until: float


@dataclass(slots=True)
class Evacuation:
    """A request of the operators to send nothing to a domain.

    ``outages`` are the disturbances of the store that came after all nodes had
    to know the request, which they keep through it.
    """

    domain: str
    asked_at: float
    taken_back_at: float = math.inf
    outages: list[float] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Run:
    """A request that a target began to run."""

    request_id: str
    target: str
    started_at: float
    organisation: str
    had_key: bool


class Witness:
    """Keep what was seen; ``faults`` lists what broke a promise."""

    def __init__(self) -> None:
        self.sent: list[Sent] = []
        self.runs: list[Run] = []
        self.drained_at: dict[str, float] = {}
        self.withdrawn_at: dict[str, float] = {}
        self.owners: dict[str, str] = {}
        self.disturbed: defaultdict[int, list[float]] = defaultdict(list)
        self.store_disturbed: list[float] = []
        # Of the disturbances, those that may not cost a request.
        self.planned: set[float] = set()
        self.cuts: list[Cut] = []
        self.unanswered: list[Sent] = []  # within the callers' time limit
        self.peaks_mb: defaultdict[int, float] = defaultdict(float)
        self.ended: list[str] = []
        self.limits: list[Limit] = []
        self.cold_times: list[ColdTime] = []
        self.evacuations: list[Evacuation] = []
        self.domains: dict[str, str] = {}
        self.nodes: dict[str, int] = {}  # beside which targets run
        # When a node first passed on that a target is limited or leaves.
        self.told_limit: dict[tuple[int, str], float] = {}
        self.told_leaving: dict[tuple[int, str], float] = {}
        self.rates: dict[str, Rate] = {}  # of some keys
        # When each node was started, and from which build.
        self.started: defaultdict[int, list[tuple[float, Build]]] = defaultdict(
            list
        )

    def build_of(self, node: int, at: float) -> Build:
        """Return the build that a node ran at a time."""
        builds = [build for since, build in self.started[node] if since <= at]
        return builds[-1] if builds else Build.CURRENT

    def run_between(self, entry: Build, guard: Build) -> int:
        """Return how many runs a node of one build sent to one of another."""
        by_id = {sent.request_id: sent for sent in self.sent}
        return sum(
            self.build_of(self.nodes[run.target], run.started_at) is guard
            and self.build_of(sent.node, sent.sent_at) is entry
            for run in self.runs
            if (sent := by_id.get(run.request_id))
        )

    def cuts_by(self, *builds: Build) -> list[str]:
        """Return a line for each request that planned work cut there.

        The entry alone closes the connection of a caller.
        """
        return [
            line
            for cut in self.cuts
            if self.build_of(cut.node, cut.sent_at) in builds
            for line in self._cut(cut)
        ]

    def unanswered_lines(self) -> list[str]:
        """Return a line for each request whose caller waited in vain."""
        return [
            f'{sent.request_id}: no answer{self._way(sent)}'
            f'{self._last_events(sent)}'
            for sent in self.unanswered
        ]

    def _last_events(self, sent: Sent) -> str:
        """Return how long before a request its node was disturbed."""
        starts = [at for at, _build in self.started[sent.node]]
        events = [
            f', {what} {sent.sent_at - max(before):.1f} s before'
            for what, moments in (
                ('started', starts),
                ('disturbed', self.disturbed[sent.node]),
            )
            if (before := [at for at in moments if at <= sent.sent_at])
        ]
        return ''.join(events)

    def given_up_by(self, build: Build, grace_seconds: float) -> list[str]:
        """Return a line for each request that a stop there gave up.

        Only for runs in which targets answer all that they begin, and nodes
        are harmed by planned stops alone.
        """
        ran = {run.request_id for run in self.runs}
        return [
            f'{sent.request_id}: {sent.status} in a stop, though it ran'
            f'{self._way(sent)}'
            for sent in self.sent
            if sent.status in GIVEN_UP
            and sent.request_id in ran
            and self.build_of(sent.node, sent.sent_at) is build
            and self._is_given_up(sent, grace_seconds)
        ]

    def faults(self, calm_since: float) -> list[str]:
        """Return a line for each promise that was broken."""
        by_id = {sent.request_id: sent for sent in self.sent}
        runs = Counter(run.request_id for run in self.runs)
        return [
            *self.ended,
            *self._unsafe(runs),
            *self.cuts_by(*Build),
            *(
                f'node {node}: {peak:.0f} MB, allowed {MEMORY_MB}'
                for node, peak in self.peaks_mb.items()
                if peak > MEMORY_MB
            ),
            *(line for run in self.runs for line in self._run(run, by_id)),
            *(
                f'{sent.request_id}: success with a wrong body'
                for sent in self.sent
                if sent.status == 200 and not sent.is_whole
            ),
            *(
                f'{sent.request_id}: {sent.status} for a valid key'
                for sent in self.sent
                if sent.status in DENIED and sent.key not in self.withdrawn_at
            ),
            *(
                line
                for limit in self.limits
                for line in self._limit(limit, by_id)
            ),
            *(line for cold in self.cold_times for line in self._cold(cold)),
            *(
                line
                for asked in self.evacuations
                for line in self._evacuation(asked, by_id)
            ),
            *(line for key in self.rates for line in self._rate(key)),
            *self._calm(calm_since),
        ]

    def _unsafe(self, runs: Counter[str]) -> list[str]:
        found = []
        for sent in self.sent:
            count = 0 if sent.may_repeat else runs[sent.request_id]
            if count > 1:
                found.append(
                    f'{sent.request_id}: ran {count} times{self._way(sent)}'
                )
            if count and sent.status in NOT_RUN:
                found.append(
                    f'{sent.request_id}: {sent.status}, but it ran'
                    f'{self._way(sent)}'
                )
        return found

    def _way(self, sent: Sent | Cut) -> str:
        """Return the nodes and builds that a request passed."""
        entry = self.build_of(sent.node, sent.sent_at)
        guards = [
            (self.nodes[run.target], run.started_at)
            for run in self.runs
            if run.request_id == sent.request_id and run.target in self.nodes
        ]
        parts = [f', taken by node {sent.node} ({entry.value})'] + [
            f', run beside node {node} ({self.build_of(node, at).value})'
            for node, at in guards
        ]
        return ''.join(parts)

    def _rate(self, key: str) -> list[str]:
        """Return a line if the requests of a key ran over its rate."""
        rate = self.rates[key]
        sent = {sent.request_id for sent in self.sent if sent.key == key}
        began: dict[str, float] = {}
        for run in self.runs:
            if run.request_id in sent:
                began.setdefault(run.request_id, run.started_at)
        most = _most_within(RATE_WINDOW_SECONDS, list(began.values()))
        allowed = RATE_TOLERANCE * (
            rate.per_second * RATE_WINDOW_SECONDS + rate.burst
        )
        if most <= allowed:
            return []
        return [
            f'{key}: {most} requests ran in {RATE_WINDOW_SECONDS:g} s, '
            f'allowed {allowed:g}'
        ]

    def _is_given_up(self, sent: Sent, grace_seconds: float) -> bool:
        if sent.answered_at - sent.sent_at > TIME_LIMIT_SECONDS:
            return False
        stops = [
            at
            for at in self.disturbed[sent.node]
            if at < sent.answered_at < at + grace_seconds
        ]
        return any(
            sent.sent_at > at + LATEST_SENT_SECONDS
            or sent.answered_at < at + WORK_SHARE * grace_seconds
            for at in stops
        )

    def _cut(self, cut: Cut) -> list[str]:
        """Return a line if only planned work can have cut the request.

        A node that a run was sent to, or any node if there was no run, may have
        been harmed.
        """
        targets = {
            run.target for run in self.runs if run.request_id == cut.request_id
        }
        waited = cut.cut_at - cut.sent_at
        if not targets and waited < LOST_SECONDS:
            return []
        nodes = {self.nodes[target] for target in targets} or set(
            self.nodes.values()
        )
        since = cut.sent_at - SETTLED_SECONDS
        if any(
            since < at < cut.cut_at and at not in self.planned
            for node in nodes | {cut.node}
            for at in self.disturbed[node]
        ):
            return []
        return [
            f'{cut.request_id}: cut by node {cut.node} after {waited:.1f} s'
            f'{self._way(cut)}'
        ]

    def _run(self, run: Run, by_id: dict[str, Sent]) -> list[str]:
        found = []
        if run.had_key:
            found.append(f'{run.request_id}: the key reached a target')
        drained = self.drained_at.get(run.target, run.started_at)
        if run.started_at > drained + DRAIN_SECONDS:
            found.append(f'{run.request_id}: ran at {run.target} after a drain')
        sent = by_id.get(run.request_id)
        if sent is None:
            return found
        told = self.told_leaving.get((sent.node, run.target), sent.sent_at)
        if sent.sent_at > told + DRAIN_SECONDS and not self._was_disturbed(
            sent.node, told, sent.sent_at
        ):
            found.append(f'{run.request_id}: ran at {run.target}, which left')
        if run.organisation != self.owners.get(sent.key):
            found.append(f'{run.request_id}: ran for {run.organisation!r}')
        withdrawn = self.withdrawn_at.get(sent.key, sent.sent_at)
        is_late = sent.sent_at > withdrawn + APPLY_SECONDS
        if is_late and self._is_in_touch(sent):
            found.append(f'{run.request_id}: ran with a withdrawn key')
        return found

    def _limit(self, limit: Limit, by_id: dict[str, Sent]) -> list[str]:
        times = [
            run.started_at
            for run in self.runs
            if run.target == limit.target and self._is_bound(run, limit, by_id)
        ]
        allowed = WINDOW_TOLERANCE * limit.rate * WINDOW_SECONDS + WINDOW_SLACK
        most = _most_within(WINDOW_SECONDS, times)
        if most <= allowed:
            return []
        return [
            f'{limit.target}: {most} runs in {WINDOW_SECONDS:g} s at a limit '
            f'of {limit.rate:g} a second, allowed {allowed:g}'
        ]

    def _cold(self, cold: ColdTime) -> list[str]:
        times = [
            run.started_at
            for run in self.runs
            if run.target == cold.target
            and cold.since <= run.started_at <= cold.until
        ]
        most = _most_within(1, times)
        if most <= MOST_COLD_IN_SECOND:
            return []
        return [f'{cold.target}: {most} runs in a second while cold']

    def _evacuation(
        self,
        asked: Evacuation,
        by_id: dict[str, Sent],
    ) -> list[str]:
        found = []
        for run in self.runs:
            sent = by_id.get(run.request_id)
            if sent is None or self.domains[run.target] != asked.domain:
                continue
            disturbed = [
                at
                for at in (*self.disturbed[sent.node], *self.store_disturbed)
                if at < run.started_at and at not in asked.outages
            ]
            since = max(asked.asked_at, *disturbed, 0.0) + EVACUATE_SECONDS
            if since < run.started_at < asked.taken_back_at:
                late = run.started_at - asked.asked_at
                found.append(
                    f'{run.request_id}: ran at {run.target} {late:.1f} s after '
                    f'the evacuation of {asked.domain}'
                )
        return found

    def _is_bound(
        self,
        run: Run,
        limit: Limit,
        by_id: dict[str, Sent],
    ) -> bool:
        """Return whether a run counts towards a limit."""
        sent = by_id.get(run.request_id)
        if sent is None:
            return False
        told = self.told_limit.get((sent.node, run.target), math.inf)
        since = max(told + TOLD_SECONDS, limit.named_at + SETTLED_SECONDS)
        is_within = since <= run.started_at <= limit.lifted_at
        return is_within and not self._was_disturbed(
            sent.node, told, run.started_at
        )

    def _was_disturbed(self, node: int, since: float, until: float) -> bool:
        return any(since < at < until for at in self.disturbed[node])

    def _is_in_touch(self, sent: Sent) -> bool:
        disturbed = [*self.disturbed[sent.node], *self.store_disturbed]
        since = sent.sent_at - SETTLED_SECONDS
        return not any(since < moment < sent.sent_at for moment in disturbed)

    def _calm(self, since: float) -> list[str]:
        statuses = Counter(
            sent.status
            for sent in self.sent
            if sent.sent_at > since
            and sent.key not in self.withdrawn_at
            and sent.key not in self.rates
        )
        served = statuses[200]
        if served >= LEAST_CALM_SHARE * statuses.total() and served:
            return []
        return [
            f'in the calm: {served} of {statuses.total()}, {dict(statuses)}'
        ]


def _most_within(seconds: float, times: list[float]) -> int:
    """Return the most moments that one window holds."""
    return max(
        (sum(began <= at < began + seconds for at in times) for began in times),
        default=0,
    )
