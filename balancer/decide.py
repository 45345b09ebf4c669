"""All decisions of the balancer: which server, whether at all, again, or not any more.

Interface (settings, list rows, outcomes, actions): balancer/settings.py, endpoints.py, events.py.

Pure and sans-I/O: every method takes the time, returns the actions to carry out, and reads no clock.
All randomness comes from the seed. The design: each server has a breaker that refuses a call locally with
the larger of two chances, one from adaptive throttling by its errors (SRE book), one from its latency over
the baseline (go-zero PR #5366); of two random ready servers the one with the lower latency x (in-flight + 1)
is taken (power of two choices).
"""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from collections.abc import Sequence
from copy import deepcopy
from dataclasses import replace
from math import exp, inf, log, sqrt
from random import Random

from balancer.endpoints import Endpoint, EndpointId, EndpointStatus, UpdateKind
from balancer.events import (
    NEVER_RAN,
    Action,
    CancelAttempt,
    Fail,
    Outcome,
    PollEndpoints,
    Reject,
    RequestId,
    SetTimer,
    StartAttempt,
)
from balancer.settings import (
    DeduplicationScope,
    DiscoveryMode,
    Idempotency,
    Settings,
    narrow_class,
    narrow_limits,
)

WINDOW = 10.0  # seconds that the error ratio looks back
BUCKETS = 40
K = 1.5  # accepted calls are worth this many requests...
MIN_K = 1.1  # ...and this many when every recent bucket fails
PROTECTION = 5  # requests that never count against a server
OUTLIER_LEAST = 2  # failures in the window that make an outlier of a server where they are most of its calls
FORCE_PASS = 1.0  # seconds between calls that pass whatever the ratio
ACTIVATION = 3.0  # the latency chance starts at this multiple of the baseline...
CEILING = 0.95  # ...and is full at this part of the timeout...
LATENCY_CAP = 0.3  # ...where it has this value

AIM_PART = 0.98  # attempts end this early in the wanted time: the answer still has to reach the client
LATE_KEPT = 0.5  # classes whose late answers keep more of their worth are waited for

DRAWS = 8  # random draws for two candidates, at most
EXTRA_FREE = 5.0  # further attempts in any span where no retry budget is stated...
EXTRA_SHARE = 0.2  # ...and for each request taken in it: more would feed an overload...
EXTRA_SPAN = 10.0  # ...over so many seconds
EDGE = 1e-5  # seconds by which a span is read to the budget's disadvantage: clocks are rounded
WINDOW_MARGIN = 0.9  # the part of a keyed class's window in which repeats are sent

COPY_SPREADS = 5.0  # a second copy goes out so many mean deviations over the tier's latency...
COPY_LEAST = 2.0  # ...at so many times it or later...
COPY_NEEDS = 1.5  # ...if so many times it are left then: in a queue all are late, and copies feed it...
COPY_SHARE = 0.05  # ...for this part of the requests...
COPY_FREE = 1.0  # ...and one more, in any span of the retry budget

STALE = 5.0  # seconds after which a silent server's latency counts half, the tier's the other half
SPARE_SPREAD = 2  # servers behind a subset that stand in for it while it is busy, for each of its own...
SPARE_LEAST = 2  # ...and so many more
SUBSET_SPREAD = 1.0  # servers of a subset beyond the first, for each root of the calls usually in flight
SUBSET_EVERY = 3.0  # seconds between looks at the size of the subset

USUAL_SPAN = 30.0  # seconds with warm servers that the usual rate goes over...
USUAL_LEAST = 8.0  # ...from so many calls on

ROOM = 0.7  # the dearest class is taken while the tier's expected latency is under this part of its aim...
ROOM_LEAST = 0.35  # ...one worth nothing under this part
ROOM_LOST = 0.57  # ...each shrinks to this part of itself, at servers that lose what they are sent...
ROOM_SLOPE = 8.0  # ...which it reaches where one request in so many fails
ROOM_TRIED = 0.1  # part of the offered rate that counts as served: stuck requests must not hold all room
ROOM_ALWAYS = 3.0  # requests that are taken whatever was served lately: a start, a proxy with few calls...
ROOM_ALONE = 2.0  # ...and so many more, while none fail, at a proxy that shares its zone with no other
COME_BACK = 0.5  # refused clients are told to stay away for this part of the tier's latency...
COME_BACK_MOST = 1.0  # ...and for so many seconds at most, where the settings state no other most
MEAN_OVER = 32  # answers that a mean latency goes over
CROWD_FROM = 1.75  # requests are refused by chance where they wait so many times the latency's baseline...
CROWD_FULL = 2.5  # ...and all of them at so many times it...
CROWD_WORTH = 0.5  # ...the dearest at so much more of both...
CROWD_ALONE, CROWD_MANY = 2, 6  # ...not at so few proxies, which see it by themselves; in full at so many...
CROWD_SPAN = 0.5  # ...by what was owed over so many seconds: at a proxy with few calls a moment says little
SHARE_SPAN = 5.0  # seconds of its share that a tenant may use at once: a burst, not a surplus

POOL_PROTECTION = 1.0  # requests that never count against a pool: all of a proxy's calls fill its window...
POOL_KEEPS = 0.85  # ...worthless requests are refused beyond 1 / this times those served...
POOL_WORTH = 0.45  # ...the dearest beyond 1 / (this less)

PACED = 16  # answers before the baseline by cost refuses anything: the first may have stood in a queue
HOPELESS = 0.6  # a request needs this part of that baseline at least: costs are hints, servers differ

LENGTHS_MOST = 256  # lengths of tries that are told apart; rarer ones are forgotten first

#: Outcomes that speak of too much work for the servers there are.
STRAIN = frozenset({Outcome.OVERLOADED, Outcome.TIMEOUT, Outcome.UNREACHABLE})

Placement = tuple[tuple[int, ...] | None, tuple[int, ...] | None]  # kinds and zones that a class is bound to

ASK_MOST = 2.0  # seconds, half as much again jittered, to a call to discovery: a change counts after 6 s

SUBSCRIBE = 1  # timer token; those above it are of second copies


class CircuitBreaker:
    """The design's chance of refusing locally: a call to one server, or any request of a pool."""

    __slots__ = (
        "_accepts",
        "_failing",
        "_failures",
        "_requests",
        "_ring",
        "_width",
        "baseline",
        "current",
        "last_pass",
    )

    def __init__(self, window: float = WINDOW) -> None:
        self._width = window / BUCKETS
        self._ring: deque[list[int]] = deque()  # [bucket number, requests, accepts, failures]
        self._requests = self._accepts = self._failures = self._failing = 0
        self.baseline = self.current = 0.0
        self.last_pass = float("-inf")

    def _count(self, now: float) -> list[int]:
        """The bucket of now, with one more request in it."""
        number = int(now / self._width)
        ring = self._ring
        if not ring or ring[-1][0] < number:
            self._expire(number)
            ring.append([number, 0, 0, 0])
        ring[-1][1] += 1
        self._requests += 1
        return ring[-1]

    def _expire(self, number: int) -> None:
        ring = self._ring
        while ring and ring[0][0] <= number - BUCKETS:
            old = ring.popleft()
            self._requests -= old[1]
            self._accepts -= old[2]
            self._failures -= old[3]
        self._failing = min(self._failing, len(ring))

    def refused(self, now: float) -> None:
        """Count a call refused here."""
        self._count(now)

    def accepted(self, now: float) -> None:
        """Count a call that the server accepted."""
        self._count(now)[2] += 1
        self._accepts += 1
        self._failing = 0

    def failed(self, now: float) -> None:
        """Count an error, time-out, full refusal or failed connection."""
        bucket = self._count(now)
        if not bucket[2] and not bucket[3]:
            self._failing += 1  # newest run of buckets that only failed
        bucket[3] += 1
        self._failures += 1

    def sample(self, latency: float) -> None:
        """Move both averages by the latency of a success."""
        if self.current <= 0.0:
            self.baseline = self.current = latency
            return
        weight = 4.0 if latency < self.baseline else 100.0
        self.baseline += (latency - self.baseline) / weight
        self.current += (latency - self.current) / 4.0

    def failed_part(self, now: float) -> float:
        """The part of the calls that failed, of those not refused here."""
        self._expire(int(now / self._width))
        return self._failures / (self._failures + self._accepts + PROTECTION)

    def mostly_fails(self, now: float) -> bool:
        """Whether most of the calls that went out failed, and not just one."""
        self._expire(int(now / self._width))
        return self._failures >= OUTLIER_LEAST and self._failures > self._accepts

    def error_ratio(self, now: float, most: float = K, protection: float = PROTECTION) -> float:
        """Adaptive throttling over the window; K falls as the newest failing buckets grow."""
        self._expire(int(now / self._width))
        k = most - (most - MIN_K) * self._failing / BUCKETS
        return max(0.0, (self._requests - protection - k * self._accepts) / (self._requests + 1))

    def latency_ratio(self, timeout: float) -> float:
        """The capped chance for a current latency far over the baseline; 0 without a usable timeout."""
        threshold = ACTIVATION * self.baseline
        span = CEILING * timeout - threshold
        if timeout <= 0.0 or threshold <= 0.0 or span <= 0.0:
            return 0.0
        return min(max((self.current - threshold) / span * LATENCY_CAP, 0.0), LATENCY_CAP)

    def drop_probability(self, now: float, timeout: float) -> float:
        """The larger of the two chances."""
        return max(self.error_ratio(now), self.latency_ratio(timeout))

    def refuses(self, now: float, timeout: float, rng: Random) -> bool:
        """Whether to refuse this call; one call a second passes while calls are dropped."""
        chance = self.drop_probability(now, timeout)
        if chance <= 0.0:
            return False
        if now - self.last_pass < FORCE_PASS and rng.random() < chance:
            self.refused(now)
            return True
        self.last_pass = now
        return False


class Rate:
    """Events a second, smoothed over two seconds."""

    __slots__ = ("_at", "_value")

    def __init__(self) -> None:
        self._value = self._at = 0.0

    def add(self, now: float) -> None:
        """Count one event."""
        self._value = self.read(now) + 0.5
        self._at = now

    def read(self, now: float) -> float:
        """The rate as of now."""
        return self._value * max(0.0, 1.0 - (now - self._at) / 2.0)


class UsualRate:
    """Events a second while the servers were warm, over the last half minute of such time."""

    __slots__ = ("_at", "_events", "_time")

    def __init__(self) -> None:
        self._at = self._events = self._time = 0.0

    def add(self, now: float, warm: bool) -> None:
        """Count one event, and the time since the one before, unless servers were cold then or are now."""
        if warm and self._at > 0.0:
            gap = now - self._at
            kept = exp(-gap / USUAL_SPAN)
            self._events = kept * self._events + 1.0
            self._time = kept * self._time + gap
        self._at = now if warm else 0.0

    def read(self) -> float:
        """The rate; endless while too little is known."""
        return self._events / self._time if self._events >= USUAL_LEAST and self._time > 0.0 else inf


class RetryBudget:
    """The retry budget: attempts beyond each request's first against the requests taken, in any span.

    Guards against retries that feed an overload, and keeps the rule where one is stated. Could harm where
    many first attempts fail for other causes than load: what would be saved by a second is lost.
    """

    __slots__ = ("_extra", "_forgotten", "_free", "_share", "_span", "_taken")

    def __init__(self, free: float, share: float, span: float) -> None:
        self.state(free, share, span)
        self._taken: deque[float] = deque()
        self._extra: deque[float] = deque()
        self._forgotten = float("-inf")  # the latest of the further attempts that are not remembered

    def state(self, free: float, share: float, span: float) -> None:
        """Change its figures; what was spent still counts."""
        self._free, self._share, self._span = free, share, span

    def absorb(self, other: RetryBudget) -> None:
        """Count what another has spent on the same requests."""
        self._extra = deque(sorted((*self._extra, *other._extra)))
        self._forgotten = max(self._forgotten, other._forgotten)

    def take(self, now: float) -> None:
        """Count a request taken, refused ones too."""
        self._taken.append(now)
        self._expire(now)

    def allows(self, now: float) -> bool:
        """Whether one more further attempt may be sent now."""
        self._expire(now)
        # Guards a span that has grown: how many are not remembered, nobody knows.
        if self._forgotten >= now - self._span - EDGE:
            return False
        return len(self._extra) + 1.0 <= self._free + self._share * len(self._taken)

    def spend(self, now: float) -> None:
        """Count a further attempt."""
        self._extra.append(now)

    def _expire(self, now: float) -> None:
        while self._taken and self._taken[0] <= now - self._span + EDGE:
            self._taken.popleft()
        while self._extra and self._extra[0] < now - self._span - EDGE:
            self._forgotten = self._extra.popleft()


class EndpointState:
    """What an instance knows of one server of the next tier."""

    __slots__ = (
        "breaker",
        "cold_credit",
        "cold_seen",
        "latency",
        "out",
        "row",
        "seen",
    )

    def __init__(self, row: Endpoint) -> None:
        self.row = row
        self.breaker: CircuitBreaker | None = None  # made at the first call: most rows of a big list see none
        self.out: dict[AttemptState, None] = {}  # attempts in flight, oldest first
        self.latency = 0.0  # the breaker's current latency, failures counted as the time-out
        self.seen = 0.0
        self.cold_credit = self.cold_seen = 0.0

    def learn(self, now: float, latency: float) -> None:
        """Move the latency that picks follow."""
        self.latency += (latency - self.latency) / 4.0 if self.latency > 0.0 else latency
        self.seen = now

    def score(self, now: float, pooled: float, unseen: float = 0.0) -> float:
        """Current latency x (in-flight + 1), with what others are taken to have in flight; lower is better.

        Guards against stale averages (a silent server drifts to the tier's latency: a recovered one is tried
        again) and against hung servers (an attempt out for longer than the current latency is a sample).
        """
        latency = pooled
        if self.latency > 0.0:
            fresh = STALE / (STALE + now - self.seen)
            latency += (self.latency - pooled) * fresh
        out = self.out
        if out:
            latency = max(latency, now - next(iter(out)).sent)
        return latency * (len(out) + unseen + 1.0)

    def mostly_fails(self, now: float) -> bool:
        """Whether it is an outlier by its breaker."""
        return self.breaker is not None and self.breaker.mostly_fails(now)


class AttemptState:
    """One send of a request."""

    __slots__ = ("maybe_ran", "open", "sent", "server", "strained")

    def __init__(self, server: EndpointState, sent: float) -> None:
        self.server = server
        self.sent = sent
        self.open = True
        self.maybe_ran = True  # until its outcome proves otherwise
        self.strained = False  # whether its end speaks of too much work for the servers there are


class RequestState:
    """A request that a final answer is owed for, or that still has attempts out."""

    __slots__ = (
        "attempts",
        "bound",
        "cost",
        "deadline",
        "done",
        "id",
        "kind",
        "limits",
        "open",
        "pool",
        "room",
        "row",
        "until",
    )

    def __init__(self, rid: RequestId, kind: int, deadline: float, balancer: Balancer) -> None:
        self.id = rid
        self.kind = kind  # its class's place in the settings in force; -1 once it is none of theirs
        # What it was admitted with holds to its end, and is only narrowed by later settings.
        self.row = balancer.settings.classes[kind]
        self.limits = balancer.settings.limits
        self.pool = balancer.pool_of[kind]
        self.room = balancer.room[kind]
        self.deadline = deadline
        self.until = deadline  # no attempt is waited for longer than this
        self.attempts: list[AttemptState] = []
        self.open = 0
        self.done = False
        self.cost = 1.0  # the work that is expected of it
        self.bound = False  # a stream has begun: the request belongs to one attempt

    def first_maybe(self) -> AttemptState | None:
        """The first attempt that may have run, or may be running."""
        return next((a for a in self.attempts if a.maybe_ran), None)


class EndpointPool:
    """The servers that some of the classes may go to, and the subset of them that ordinary picks draw from.

    Guards placement: every pick, first or further, comes from a list that holds open servers alone.
    """

    __slots__ = (
        "begin",
        "born",
        "breaker",
        "ends",
        "groups",
        "held",
        "held_at",
        "kinds",
        "owed",
        "place",
        "rate",
        "ready",
        "sent",
        "served",
        "spare",
        "usual",
        "warm_from",
        "warm_part",
        "width",
        "subset",
        "zones",
    )

    def __init__(self, kinds: tuple[int, ...] | None, zones: tuple[int, ...] | None) -> None:
        self.place = kinds, zones
        self.kinds = kinds
        self.zones = zones
        self.ready: list[EndpointState] = []
        self.subset: list[EndpointState] = []  # the part of `ready` that ordinary picks draw from...
        self.ends: list[float] = []  # ...where each one's stretch of the subset ends, by size...
        self.begin = self.width = 0.0  # ...and the subset
        self.spare: list[EndpointState] = []  # the servers that follow the subset on the ring
        self.groups: dict[
            tuple[DeduplicationScope, int], list[EndpointState]
        ] = {}  # which servers drop each other's repeats
        self.rate, self.sent, self.served = Rate(), Rate(), Rate()  # requests offered, attempts, served
        self.usual = UsualRate()  # attempts while all of the subset were warm
        self.born = float("inf")  # when the first request came
        self.owed = 0  # requests that a final answer is owed for...
        self.held = self.held_at = 0.0  # ...and how many they were lately, as of then
        self.breaker = CircuitBreaker()  # of requests, whichever servers they went to
        self.warm_from = float("inf")  # when the next of the cold servers is warm
        self.warm_part = 1.0

    def opens(self, row: Endpoint) -> bool:
        """Whether the classes of this pool may go to this server."""
        return (self.kinds is None or row.machine_type in self.kinds) and (
            self.zones is None or row.zone in self.zones
        )

    def part_rate(self, now: float) -> float:
        """What each server of the subset gets from here, in calls a second.

        By calls sent: refused clients come back and count again. Where all are cold, by calls offered, as
        what is sent then follows from this, but not beyond the usual: who comes back counts there too.
        """
        offered = min(self.rate.read(now), self.usual.read())
        rate = self.warm_part * self.sent.read(now) + (1.0 - self.warm_part) * offered
        return rate / max(1, len(self.subset))


class Balancer:
    """One instance: a method for each event, each returning the actions to carry out in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        settings.check()
        self.rng = Random(seed)
        self.servers: dict[EndpointId, EndpointState] = {}
        self.pools: list[EndpointPool] = []  # also such as only requests in flight still hold
        self.pool_of: list[EndpointPool] = []  # by class
        self.shares: list[float] = []  # what of each tenant is due here...
        self.due: list[float] = []  # ...how many requests of it now...
        self.due_at: list[float] = []  # ...as of then
        self.look_at = 0.0
        self.pooled = 0.0  # current latency of the tier...
        self.spread = 0.0  # ...and its mean deviation
        self.copies: dict[
            int, tuple[RequestState, AttemptState]
        ] = {}  # by timer token: what may get a copy then
        self.tokens = SUBSCRIBE
        self.requests: dict[RequestId, RequestState] = {}
        self.budget = self.copy_budget = RetryBudget(EXTRA_FREE, EXTRA_SHARE, EXTRA_SPAN)
        self.asking = False
        self.backoff = 1.0
        self.pace = 0.0  # baseline of latency for each unit of cost...
        self.paced = 0  # ...and the answers behind it
        self.mean = self.calm = 0.0  # mean latency of late, and the baseline of that
        self.took: list[float] = []  # mean latency of each class of late...
        self.answers: list[int] = []  # ...and the answers behind it
        self.lengths: list[dict[int, int]] = []  # of tries, in steps of 2%...
        self.usual: list[int] = []  # ...and the commonest
        self.settings = replace(settings, classes=(), tenants=())
        self._configure(0.0, settings)

    # ---- settings ------------------------------------------------------------------------

    def reconfigure(self, now: float, settings: Settings) -> list[Action]:
        """Swap the settings, whole and in this instant; equal ones change nothing.

        Requests in flight are finished under those that they were admitted with, narrowed to what both allow.
        What was learned of a class or tenant is kept by its name, what was spent of a budget still counts,
        and servers stay what they are. Numbers of zones and kinds have to mean the same in both. Raises
        ValueError, with nothing changed, for settings that `Settings.check_swap` does not allow.
        """
        if settings == self.settings:
            return []
        self.settings.check_reload(settings)
        self._configure(now, settings)
        self._arrange(now)
        return []

    def misplaced_attempts(self) -> list[tuple[RequestId, int]]:
        """Attempts out on servers that their requests may not go to any more; call after `reconfigure`.

        Those that are not on the wire yet should be ended as void.
        """
        return [
            (r.id, n)
            for r in self.requests.values()
            for n, a in enumerate(r.attempts)
            if a.open and not r.pool.opens(a.server.row)
        ]

    def _configure(self, now: float, settings: Settings) -> None:
        """Take settings over. Guards customers against each other: what has no name in both starts anew."""
        places = {c.name: n for n, c in enumerate(self.settings.classes)}
        kept = [places.get(c.name, -1) for c in settings.classes]
        tenants = () if settings.tier else settings.tenants  # only the first tier sheds by share
        places = {t.name: n for n, t in enumerate(self.settings.tenants)}
        due = [self._due(now, places[t.name]) if t.name in places else float("inf") for t in tenants]
        self.shares = [t.quota / settings.fleet_size for t in tenants]
        self.due = [min(was, 1.0 + SHARE_SPAN * share) for was, share in zip(due, self.shares, strict=True)]
        self.due_at = [now] * len(due)
        pools: dict[Placement, EndpointPool] = {}
        for row, n in zip(settings.classes, kept, strict=True):
            if n >= 0 and self.pool_of[n].place == (row.allowed_machine_types, row.allowed_zones):
                pools[self.pool_of[n].place] = self.pool_of[n]
        for row in settings.classes:
            pools.setdefault(
                (row.allowed_machine_types, row.allowed_zones),
                EndpointPool(row.allowed_machine_types, row.allowed_zones),
            )
        self.pool_of = [pools[row.allowed_machine_types, row.allowed_zones] for row in settings.classes]
        self.took = [self.took[n] if n >= 0 else 0.0 for n in kept]
        self.answers = [self.answers[n] if n >= 0 else 0 for n in kept]
        self.lengths = [self.lengths[n] if n >= 0 else {} for n in kept]
        self.usual = [self.usual[n] if n >= 0 else 0 for n in kept]
        if max(kept) < 0:  # none is left: what was learned of all of them together goes too
            self.pooled = self.spread = self.mean = self.calm = self.pace = 0.0
            self.paced = 0
        dearest = max(c.priority_weight for c in settings.classes) or 1.0
        span = (ROOM - ROOM_LEAST) / dearest
        self.crowd = min(1.0, max(0, settings.fleet_size - CROWD_ALONE) / (CROWD_MANY - CROWD_ALONE))
        self.alone = ROOM_ALONE if settings.fleet_size <= settings.zone_count else 0.0
        self.room = [c.latency_objective * (ROOM_LEAST + span * c.priority_weight) for c in settings.classes]
        self.worth = [c.priority_weight / dearest for c in settings.classes]
        self.accept_worth = [1.0 / (POOL_KEEPS - POOL_WORTH * worth) for worth in self.worth]
        self._state_budgets(settings)
        self.settings = settings
        places = {c.name: n for n, c in enumerate(settings.classes)}
        narrowed: dict[Placement, EndpointPool] = {}
        for request in self.requests.values():
            request.limits = narrow_limits(request.limits, settings.limits)
            request.kind = places.get(request.row.name, -1)
            if request.kind >= 0:  # else its class is gone, and it is finished as it was admitted
                self._narrow(request, narrowed)
        # Guards drains: requests in flight may draw from pools that no class has any more.
        held = (p for p in self.pools if p.owed and p not in self.pool_of)
        self.pools = [*pools.values(), *narrowed.values(), *held]

    def _state_budgets(self, settings: Settings) -> None:
        rules = settings.rules
        if rules.retry_budget_window > 0.0:
            self.budget.state(rules.retry_budget_floor, rules.retry_budget_ratio, rules.retry_budget_window)
            if self.copy_budget is not self.budget:
                self.budget.absorb(self.copy_budget)
            self.copy_budget = self.budget  # the rule counts copies too
            return
        self.budget.state(EXTRA_FREE, EXTRA_SHARE, EXTRA_SPAN)
        # Guards retries of what has failed against copies that use up their budget.
        if self.copy_budget is self.budget:
            self.copy_budget = deepcopy(self.budget)
        self.copy_budget.state(COPY_FREE, COPY_SHARE, EXTRA_SPAN)

    def _narrow(self, request: RequestState, pools: dict[Placement, EndpointPool]) -> None:
        """Leave to a request in flight what both its own class and the one in force allow."""
        request.row = row = narrow_class(request.row, self.settings.classes[request.kind])
        place = row.allowed_machine_types, row.allowed_zones
        if request.pool.place != place:
            pool = self.pool_of[request.kind]
            if pool.place != place:
                pool = pools.setdefault(place, EndpointPool(*place))
            request.pool.owed -= not request.done
            pool.owed += not request.done
            request.pool = pool

    # ---- the list of servers -------------------------------------------------------------

    def start(self, now: float) -> list[Action]:
        """Call once, after the first list was given."""
        if self.settings.discovery is not DiscoveryMode.POLLED:
            return []
        # All instances start together: spread the first calls over what the rules allow unasked.
        return self._ask_in(now, min(0.4 * self.settings.rules.poll_interval, ASK_MOST) * self.rng.random())

    def _ask_in(self, now: float, delay: float) -> list[Action]:
        if self.asking:
            return []
        self.asking = True
        return [SetTimer(now + delay, SUBSCRIBE)]

    def on_endpoints_updated(self, now: float, kind: UpdateKind, rows: Sequence[Endpoint]) -> list[Action]:
        """A list, a change to it, or the news that a call to discovery failed."""
        if kind is UpdateKind.FAILED:
            # Jittered and doubling: every instance lost the same service at the same time.
            delay = self.backoff * (0.5 + self.rng.random())
            self.backoff = min(2.0 * self.backoff, max(1.0, self.settings.rules.poll_interval), ASK_MOST)
            return self._ask_in(now, delay)
        if kind is not UpdateKind.CACHED:
            self.backoff = 1.0
        if kind is not UpdateKind.DELTA:
            listed = {row.id for row in rows}
            for server in self.servers.values():
                if server.row.id not in listed:
                    # Size and start time are kept: it may come back as the same process, still cold.
                    server.row = replace(server.row, status=EndpointStatus.GONE)
        for row in rows:
            known = self.servers.get(row.id)
            if known is None:
                self.servers[row.id] = EndpointState(row)
                continue
            if row.started > known.row.started:
                known.breaker = None  # a new process: nothing learned of the old one holds
                known.latency = 0.0
                # The phase is drawn anew too: a credit counted from before the restart would be full at
                # every instance at once, and the first call of each would push the cold server over.
                known.cold_credit = known.cold_seen = 0.0
            known.row = row
        self._forget(now)
        self._arrange(now)
        return []

    def _forget(self, now: float) -> None:
        """Guards memory against servers that are replaced under new ids for as long as the program runs.

        One that is gone stays while attempts are out, and while it would still be cold: it may come back as
        the same process.
        """
        for key, server in tuple(self.servers.items()):
            if (
                server.row.status is EndpointStatus.GONE
                and not server.out
                and self._cold_until(server) <= now
            ):
                del self.servers[key]

    def _arrange(self, now: float) -> None:
        """Rebuild the lists of ready servers; drained and gone ones leave them at once."""
        # A ring in scattered order, the same at every instance.
        ready = [s for s in self.servers.values() if s.row.status is EndpointStatus.UP]
        ready.sort(key=lambda s: (s.row.id * 0x9E3779B1 & 0xFFFFFFFF, s.row.id))
        for pool in self.pools:
            pool.ready = [s for s in ready if pool.opens(s.row)]
            pool.groups = {}
            for server in pool.ready:
                pool.groups.setdefault((DeduplicationScope.ZONE, server.row.zone), []).append(server)
                pool.groups.setdefault((DeduplicationScope.CELL, server.row.cell), []).append(server)
        self._resize(now)

    def _resize(self, now: float) -> None:
        """Choose the subset of each pool's ring that ordinary calls are spread over.

        Guards against sparse windows: with few calls to many servers a breaker never leaves its protection,
        averages go stale, and the own in-flight says nothing. Acts where there are other instances. A
        server's stretch is as long as its size; whole steps cover every server alike.
        """
        self.look_at = now + SUBSET_EVERY
        for pool in self.pools:
            total = sum(s.row.size or 1.0 for s in pool.ready)
            mean = total / max(1, len(pool.ready))
            want = mean * (1.0 + SUBSET_SPREAD * sqrt(pool.rate.read(now) * self.pooled))
            step = total / self.settings.fleet_size  # only whole steps cover every server alike
            pool.width = min(total, step * max(1, round(want / step))) if total else 0.0
            pool.begin = step * self.settings.ordinal
            pool.subset = []
            pool.ends = []
            at = 0.0
            for _ in range(2):  # the subset may reach past the ring's end
                for server in pool.ready:
                    at += server.row.size or 1.0
                    if pool.begin < at and at - (server.row.size or 1.0) < pool.begin + pool.width:
                        pool.subset.append(server)
                        pool.ends.append(at)
            pool.spare = self._following(pool)
            self._count_warm(now, pool)

    @staticmethod
    def _following(pool: EndpointPool) -> list[EndpointState]:
        """The servers that stand in for a busy subset: the next ones on the ring.

        Guards servers against a connection from every proxy of a large fleet: each new one costs them a
        handshake and room, and one to a server that is seldom called is never used again.
        """
        if not pool.subset:
            return []
        at = pool.ready.index(pool.subset[-1]) + 1
        ring = pool.ready[at:] + pool.ready[:at]
        count = SPARE_LEAST + SPARE_SPREAD * len(pool.subset)
        return [server for server in ring[:count] if server not in pool.subset]

    def _count_warm(self, now: float, pool: EndpointPool) -> None:
        until = [self._cold_until(s) for s in pool.subset]
        cold = [t for t in until if t > now]
        pool.warm_from = min(cold, default=float("inf"))
        pool.warm_part = 1.0 - len(cold) / len(until) if until else 1.0

    def _cold_until(self, server: EndpointState) -> float:
        started = server.row.started
        return started + self.settings.rules.warmup_duration if started > 0.0 else 0.0

    def _spares_cold(self, now: float, server: EndpointState, pool: EndpointPool) -> bool:
        """Whether a cold server is passed over for this call.

        Guards against pushing it over: this instance alone gives it at most the part of a warm peer's
        share that it can do for certain, both on average (a draw) and in any short span (a budget).
        """
        rules = self.settings.rules
        age = max(0.0, now - server.row.started)
        part = rules.warmup_initial_capacity + (1.0 - rules.warmup_initial_capacity) * min(
            1.0, age / max(rules.warmup_duration, 1e-6)
        )
        # Half, as an idle one wins over its rival; draws go on until there are two candidates, so where many
        # are cold each still gets its part of what all can do now, and the few warm ones no more than theirs.
        if self.rng.random() >= 0.5 * part:
            return True
        pace = (
            (1.0 + pool.warm_part) * part * sum(p.part_rate(now) for p in self.pools if p.opens(server.row))
        )
        if server.cold_seen <= 0.0:
            server.cold_credit = self.rng.random()  # instances must not all begin at the same moment
            server.cold_seen = now
        most = max(1.0, pace * rules.overload_interval)
        server.cold_credit = min(most, server.cold_credit + pace * (now - server.cold_seen))
        server.cold_seen = now
        return server.cold_credit < 1.0

    # ---- requests ------------------------------------------------------------------------

    def on_request(
        self,
        now: float,
        rid: RequestId,
        class_index: int = 0,
        tenant: int = 0,
        deadline: float | None = None,
        cost: float = 0.0,
        retry: bool = False,
    ) -> list[Action]:
        """A new request; exactly one final answer is owed from here on."""
        self.settings.check_request(class_index, tenant, deadline, cost)
        if rid in self.requests:
            raise ValueError(f"rid: {rid!r} is open already")
        if deadline is None:
            deadline = now + self.settings.classes[class_index].deadline
        request = RequestState(rid, class_index, deadline, self)
        request.until = self._worth_until(now, class_index, deadline, retry)
        self.requests[rid] = request
        self.budget.take(now)
        if self.copy_budget is not self.budget:
            self.copy_budget.take(now)
        pool = request.pool
        pool.rate.add(now)
        if now >= self.look_at:
            self._resize(now)
        out: list[Action] = []
        pool.owed += 1
        pool.born = min(pool.born, now)
        request.cost = cost or 1.0
        # Guards against work that cannot end in time: a heavy request, a caller with too little time left.
        hopeless = now + self._least(request) >= request.until
        if hopeless:
            self.pace *= 0.94  # a refusal teaches nothing: no unfair baseline stays for good
        over = self._over_share(now, tenant)
        taken = not hopeless and self._admits(now, class_index, over)
        # The list stands in for a dead subset, less its cold servers: others' subsets share their budget.
        rest = (pool.subset, True), (pool.ready, False)
        if not taken or not any(self._send(now, request, among, first, out) for among, first in rest):
            self._answer(now, request, out)
        return out

    def _least(self, request: RequestState) -> float:
        return HOPELESS * self.pace * request.cost if self.paced >= PACED else 0.0

    def _over_share(self, now: float, tenant: int) -> bool:
        """Whether a request is beyond its tenant's share, by a token bucket filled at this instance's part.

        Guards the others against one tenant's burst: what is over the share is worth little and goes first.
        Acts where requests fail, in the measure that they do. Could harm where one instance has most of a
        tenant's traffic: its part of the share is soon used up.
        """
        if not self.shares or self.shares[tenant] <= 0.0:
            return False
        self.due[tenant] = due = self._due(now, tenant)
        self.due_at[tenant] = now
        if due < 1.0:
            return True
        self.due[tenant] -= 1.0
        return False

    def _due(self, now: float, tenant: int) -> float:
        """How many requests of a tenant are within its share now."""
        share = self.shares[tenant]
        return min(self.due[tenant] + share * (now - self.due_at[tenant]), 1.0 + SHARE_SPAN * share)

    def _admits(self, now: float, kind: int, over: bool) -> bool:
        """Whether the tiers below can be expected to serve one more request of this class in time.

        Guards against overload: what would end late is refused at once, before it costs work, and the
        cheapest class first. Acts at the first tier alone (a refusal further down wastes the work above), by
        pool, so that a jam of a bound class holds no room of the others: once the requests owed, over those
        served a second, make a wait too long for the class, or by the design's throttle over whole requests.
        The wait shrinks with the part that fails: queues that lose requests must drain before they serve.
        The throttle guards against sparse windows: at many proxies each breaker of one server stays under its
        protection while all of them fail. Could harm: a short burst at a proxy with few calls is refused; its
        clients are dealt to the zone's other proxies, but where there are none they come straight back, so
        there a burst is no overload until requests fail.
        """
        if self.settings.tier:
            return True
        pool = self.pool_of[kind]
        shrink = min(1.0, ROOM_SLOPE * pool.breaker.failed_part(now))
        # Guards classes of short work against the long work of others: what is owed over what is served is a
        # mean of all, and a class that takes a part of that waits a part of it.
        took = self.took[kind] if self.paced >= PACED else 0.0
        longer = max(1.0, self.mean / took) if took > 0.0 else 1.0
        room = (1.0 - (1.0 - ROOM_LOST) * shrink) * self.room[kind] * longer
        if over:
            room *= 1.0 - (1.0 - self.settings.over_quota_weight) * shrink
        age = now - pool.born
        # Guards the start: nothing can have been served yet, and smoothed rates still count from zero.
        served = pool.rate.read(now) * (1.0 if age < room else ROOM_TRIED)
        served = max(served, pool.served.read(now))
        served /= 1.0 - exp(-max(age, 0.2) / 2.0)
        if pool.owed > room * served + ROOM_ALWAYS + self.alone * (1.0 - shrink):
            return False
        if self._crowded(now, pool, kind, served):
            return False
        if self.rng.random() < pool.breaker.error_ratio(now, self.accept_worth[kind], POOL_PROTECTION):
            pool.breaker.refused(now)
            return False
        return True

    def _crowded(self, now: float, pool: EndpointPool, kind: int, served: float) -> bool:
        """Whether to refuse by chance as latency leaves its baseline: the design's latency term, for a tier.

        Guards servers that do less the more they hold: what all proxies may hold by the aims alone is far
        more than that, and once servers are slow the few requests that each proxy always takes keep them so.
        Goes by requests owed over those served, which shows a stall before an answer is late. Could harm
        where all servers are slow for another reason: they get less than they could do. Acts where many
        proxies share the tier: with two or three it cost bursts more than it saved. Both sides are means: the
        baseline of single latencies lies near the least, a small part of the mean where work varies much.
        """
        pool.held += (pool.owed - 1 - pool.held) * (1.0 - exp((pool.held_at - now) / CROWD_SPAN))
        pool.held_at = now
        if self.paced < PACED or served <= 0.0 or self.calm <= 0.0:
            return False
        times = pool.held / served / (self.calm * (1.0 + CROWD_WORTH * self.worth[kind]))
        return self.rng.random() < self.crowd * min(1.0, (times - CROWD_FROM) / (CROWD_FULL - CROWD_FROM))

    def _worth_until(self, now: float, kind: int, deadline: float, retry: bool) -> float:
        """Until when an answer earns something.

        Guards against work for answers that are worth little: servers full of it keep timely ones waiting.
        Acts where late answers lose half or more. First tries of a class all last alike and are the
        commonest; another length is a client's last try, begun a class deadline before its end. Where clients
        mark their repeats an unmarked try is the first, however short: that client has little patience.
        """
        row = self.settings.classes[kind]
        if row.late_weight > LATE_KEPT or row.streaming:
            return deadline
        begun = now
        if self.settings.tier == 0:
            seen, length = self.lengths[kind], round(50.0 * log(max(deadline - now, 1e-6)))
            seen[length] = seen.get(length, 0) + 1
            if len(seen) > LENGTHS_MOST:  # Guards memory against callers that never ask for the same time.
                self.lengths[kind] = seen = {k: n // 2 for k, n in seen.items() if n > 1}
            if seen[length] > seen.get(self.usual[kind], 0):
                self.usual[kind] = length
            may_repeat = retry or not self.settings.clients_mark_retries
            if may_repeat and abs(length - self.usual[kind]) > 1 and seen[self.usual[kind]] >= 4:
                begun = min(now, deadline - row.deadline)
        elif self.settings.propagates_deadline:
            return deadline
        return min(deadline, begun + AIM_PART * row.latency_objective)

    def _send(
        self, now: float, request: RequestState, among: list[EndpointState], first: bool, out: list[Action]
    ) -> bool:
        """Send an attempt to the best candidate whose breaker does not refuse; False if there is none."""
        timeout = request.row.latency_objective
        for server in self._offers(now, request, among, first):
            if server.breaker is None:
                server.breaker = CircuitBreaker()
            if not server.breaker.refuses(now, timeout, self.rng):
                break
        else:
            return False
        if server.cold_credit > 0.0:
            server.cold_credit -= 1.0
        if request.attempts:
            self._budget(request).spend(now)
        attempt = AttemptState(server, now)
        server.out[attempt] = None
        pool = request.pool
        pool.sent.add(now)
        pool.usual.add(now, pool.warm_part >= 1.0)
        request.attempts.append(attempt)
        request.open += 1
        within = request.until - now if request.until < request.deadline else 0.0
        out.append(StartAttempt(request.id, server.row.id, within))
        if request.open == 1:
            self._watch(now, request, attempt, out)
        return True

    def _watch(self, now: float, request: RequestState, attempt: AttemptState, out: list[Action]) -> None:
        """Ask for a look at an attempt that may be lost, while there is time for a second copy.

        Guards what is safe to repeat against attempts that are never answered: a hung server, an answer lost
        on the way. Without it they are waited for until no time is left. Acts at the last tier alone: a copy
        further up repeats the work of all tiers below. Could harm where all are slow: a budget of their own
        bounds the copies, and where latency is a large part of the time there are none.
        """
        kind = request.row
        if self.settings.tier < self.settings.tier_count - 1:
            return
        if kind.idempotency is not Idempotency.IDEMPOTENT or kind.streaming or not request.limits.hedging:
            return
        delay = max(self.pooled + COPY_SPREADS * self.spread, COPY_LEAST * self.pooled)
        if self.pooled <= 0.0 or now + delay + COPY_NEEDS * self.pooled > request.until:
            return
        self.tokens += 1
        self.copies[self.tokens] = (request, attempt)
        out.append(SetTimer(now + delay, self.tokens))

    def _offers(
        self, now: float, request: RequestState, among: list[EndpointState], first: bool
    ) -> list[EndpointState]:
        """The candidates, the best first.

        Guards requests against waiting behind others in a subset while servers outside it stand idle, most of
        all where it is narrow or a server of it is slow or dead: where all candidates of the subset are busy
        or outliers, two of all servers are drawn too, taken to hold of others' what ours hold of ours on
        average. Could harm where others have far more traffic: their servers are busier than they seem.
        """
        pooled = self.pooled or request.row.latency_objective  # before any answer all are alike
        scores = {s: s.score(now, pooled) for s in self._candidates(now, request, among, first)}
        if first and all(server.out or server.mostly_fails(now) for server in scores):
            pool = request.pool
            unseen = pool.sent.read(now) * self.pooled / max(1, len(pool.subset))
            dead = all(server.mostly_fails(now) for server in scores)
            behind = pool.spare if pool.spare and not dead else pool.ready
            for server in self._candidates(now, request, behind, False):
                if server not in pool.subset:
                    scores[server] = server.score(now, pooled, unseen)
        if request.row.idempotency is Idempotency.NON_IDEMPOTENT:
            # Guards what can't be tried again against an outlier: its breaker lets calls through until it has
            # seen enough, and once a second then. What can be goes on finding out whether it has recovered.
            # Could harm where requests themselves are at fault: their server is shunned for a window.
            return sorted(scores, key=lambda s: (s.mostly_fails(now), scores[s]))
        return sorted(scores, key=scores.__getitem__)

    def _candidates(
        self, now: float, request: RequestState, among: list[EndpointState], first: bool
    ) -> list[EndpointState]:
        """Two random ready servers, fewer where there are no more."""
        count = len(among)
        found: list[EndpointState] = []
        pool = request.pool
        if now >= pool.warm_from:
            self._count_warm(now, pool)
        tried = [a.server for a in request.attempts]
        for _ in range(DRAWS if among else 0):
            if among is pool.subset:
                at = bisect_right(pool.ends, pool.begin + pool.width * self.rng.random())
                server = among[min(at, count - 1)]
            else:
                server = among[int(self.rng.random() * count)]
            if server in found or server in tried:
                continue
            if self._cold_until(server) > now and (not first or self._spares_cold(now, server, pool)):
                continue
            found.append(server)
            if len(found) == 2:
                break
        return found

    def _among(self, now: float, request: RequestState) -> list[EndpointState]:
        """Where a further attempt may go by the rules; empty if nowhere.

        Guards the rule against doing an effect twice.
        """
        kind, pool = request.row, request.pool
        first = request.first_maybe()
        if first is None or kind.idempotency is Idempotency.IDEMPOTENT:
            return pool.ready
        if (
            kind.idempotency is Idempotency.NON_IDEMPOTENT
            or now - first.sent >= WINDOW_MARGIN * kind.deduplication_window
        ):
            return []
        if kind.deduplication_scope is DeduplicationScope.ALL:
            return pool.ready
        row = first.server.row
        return pool.groups.get(
            (
                kind.deduplication_scope,
                row.zone if kind.deduplication_scope is DeduplicationScope.ZONE else row.cell,
            ),
            [],
        )

    def _budget(self, request: RequestState) -> RetryBudget:
        """What a further attempt counts against: it is a copy while an earlier one is out."""
        return self.copy_budget if request.open else self.budget

    def _again(self, now: float, request: RequestState, out: list[Action]) -> bool:
        """Try a further attempt within the rules and the retry budget."""
        if request.done or request.bound or now >= request.until:
            return False
        if not self._budget(request).allows(now):
            return False
        if len(request.attempts) >= request.limits.max_attempts:
            return False
        return self._send(now, request, self._among(now, request), False, out)

    def _answer(self, now: float, request: RequestState, out: list[Action]) -> None:
        """The final answer: refused where that promise holds, else failed."""
        # Guards admission against failures that no load made, from spoilt answers to a server's own faults:
        # refusing work does not cure them. Could harm: an overloaded tier that fails fast, as proxies that
        # refuse make it, shows in what is owed alone.
        if any(attempt.strained for attempt in request.attempts):
            request.pool.breaker.failed(now)
        kind = request.row
        free = kind.idempotency is Idempotency.IDEMPOTENT or (
            kind.idempotency is Idempotency.KEYED and kind.deduplication_scope is DeduplicationScope.ALL
        )
        if free or request.first_maybe() is None:
            out.append(Reject(request.id, self._come_back()))
        else:
            out.append(Fail(request.id))
        self._finish(request, out)

    def _come_back(self) -> float:
        """How long a refused client should stay away: until a part of what is out now has ended.

        Guards against clients that wait by guess: too long is time lost of what their answer is wanted in,
        too short is one of their few tries. Acts at the first tier: nobody else comes back by itself.
        """
        limits = self.settings.limits
        if self.settings.tier or not limits.retry_after:
            return 0.0
        return min(COME_BACK * self.pooled, limits.max_retry_after or COME_BACK_MOST)

    def _finish(self, request: RequestState, out: list[Action]) -> None:
        request.done = True
        request.pool.owed -= 1
        if not request.bound:
            out += self._cancels(request)
        if not request.open:
            self.requests.pop(request.id, None)

    def _cancels(self, request: RequestState, spared: int = -1) -> list[Action]:
        if not request.limits.cancel:
            return []
        return [
            CancelAttempt(request.id, n) for n, a in enumerate(request.attempts) if a.open and n != spared
        ]

    def on_attempt_finished(
        self, now: float, rid: RequestId, number: int, how: Outcome, latency: float, last: bool = False
    ) -> list[Action]:
        """An attempt ended; unknown ones are ignored."""
        request = self.requests.get(rid)
        if request is None or not 0 <= number < len(request.attempts):
            return []
        attempt = request.attempts[number]
        if not attempt.open:
            return []
        attempt.open = False
        attempt.maybe_ran = how not in NEVER_RAN
        # An error that took longer than the room speaks of a time-out behind.
        attempt.strained = how in STRAIN or latency > request.room
        request.open -= 1
        self._learn(now, attempt, how, latency, request.row.latency_objective)
        if how is Outcome.SUCCESS and request.kind >= 0:
            gap = latency / request.cost - self.pace
            self.pace += gap / (4.0 if gap < 0.0 else 100.0) if self.paced else gap
            self.paced += 1
            self.answers[request.kind] = seen = min(self.answers[request.kind] + 1, MEAN_OVER)
            self.took[request.kind] += (latency - self.took[request.kind]) / seen
            self.mean += (latency - self.mean) / min(self.paced, MEAN_OVER)
            gap = self.mean - self.calm
            self.calm += gap / (4.0 if gap < 0.0 else 100.0) if self.paced > PACED else gap
        out: list[Action] = []
        if request.done:
            if not request.open:
                self.requests.pop(rid, None)
        elif last or how is Outcome.SUCCESS:
            request.pool.served.add(now)
            request.pool.breaker.accepted(now)
            self._finish(request, out)
        elif not request.open and not self._again(now, request, out):
            self._answer(now, request, out)
        return out

    def _learn(self, now: float, attempt: AttemptState, how: Outcome, latency: float, timeout: float) -> None:
        server = attempt.server
        server.out.pop(attempt, None)
        breaker = server.breaker
        if breaker is None or how is Outcome.NOT_SENT or attempt.sent < server.row.started:
            return
        if how is Outcome.SUCCESS:
            breaker.accepted(now)
            if breaker.current <= 0.0 and self.pooled > 0.0:
                breaker.sample(min(latency, self.pooled))  # no baseline from one slow answer alone
            breaker.sample(latency)
            server.learn(now, latency)
            if self.pooled > 0.0:
                self.spread += (abs(latency - self.pooled) - self.spread) / 32.0
                self.pooled += (latency - self.pooled) / 32.0
            else:
                self.pooled, self.spread = latency, latency / 2.0
        elif how is Outcome.CANCELLED:
            # Guards against a hung server whose attempts end with the answer of a copy: it took this long.
            if latency > server.latency:
                server.learn(now, latency)
        else:
            breaker.failed(now)
            # Guards against a server that fails fast and so looks quick: a failure costs a time-out.
            server.learn(now, max(latency, timeout))

    def on_response_started(self, _now: float, rid: RequestId, number: int) -> list[Action]:
        """The answer of a streamed class has begun: the request belongs to this attempt."""
        request = self.requests.get(rid)
        if request is None or request.done:
            return []
        request.bound = True
        return self._cancels(request, number)

    def on_client_disconnected(self, _now: float, rid: RequestId) -> list[Action]:
        """The client left; no answer is owed any more."""
        request = self.requests.get(rid)
        out: list[Action] = []
        if request is not None and not request.done:
            self._finish(request, out)
        return out

    def on_timer(self, now: float, token: int) -> list[Action]:
        """A timer fell due; stale ones are ignored."""
        if token == SUBSCRIBE and self.asking:
            self.asking = False
            return [PollEndpoints()]
        out: list[Action] = []
        if token in self.copies:
            request, attempt = self.copies.pop(token)
            if attempt.open and request.limits.hedging and request.row.idempotency is Idempotency.IDEMPOTENT:
                self._again(now, request, out)
        return out
