"""The state of a dispatcher: workers, keys, requests and attempts, and the estimates of the fleet.

The other modules of this package are functions over a `DispatcherState`. Times are milliseconds of the
caller's clock.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field, replace
from random import Random

from .actions import Action
from .estimators import DecayingScore, MeanDifference, RecentItems, RunningMeans, TimeWeightedMean
from .hashing import RendezvousOrder, hash_name
from .quotas import TokenBucket, create_token_buckets
from .settings import JobClass, Settings

SPARSE_TRAFFIC_SCHEDULERS = 10  # with more, own traffic is less than a tenth of the load of a worker
MAX_RECENT_IDLE_WORKERS = 4  # workers remembered because they started an attempt without a wait
SERVICE_TIME_SAMPLES = 200  # values over which mean service times are taken
MAX_SERVICE_TIME_RATIO = 8.0  # service times are clipped to this multiple of the mean: their tail is long
TICKS_PER_CONNECT_TIMEOUT = 4  # ticks must be more frequent than the shortest wait, a connect time-out


@dataclass(slots=True, eq=False)
class WorkerPool:
    """The workers of one kind. They share these estimates."""

    max_concurrency: int  # largest number of jobs seen running concurrently on one worker
    slots: float  # estimated load above which jobs wait
    min_slots: float
    is_exclusive: bool = False  # no other dispatcher sends to these workers
    service_time_ratio: float = 1.0  # mean ratio of a service time here to the mean of its class
    hashed_service_time_ratio: float = 1.0  # the ratio that the orders of the keys were made with
    mean_service_time_ms: float = 0.0
    mean_queue_wait_ms: float = 0.0
    mean_reported_jobs: float = 0.0  # per worker; 0: no reports
    largest_weight: float = 0.0  # size of a worker of this kind, if weights depend on the load
    completed_jobs: int = 0
    first_start_at_ms: float = math.inf
    ready_count: int = 0
    ejected_count: int = 0


@dataclass(slots=True, frozen=True)
class ClassEjection:
    """The failures of one class at a worker, and the end of its ejection for that class."""

    failure_count: float
    until_ms: float


@dataclass(slots=True, eq=False)
class Worker:
    """A worker, as known from own traffic, the endpoint list and peers."""

    name: str
    zone: str
    kind: str
    cell: int
    name_hash: int
    weight: float
    pool: WorkerPool
    is_ready: bool = False
    classes: frozenset[str] | None = None
    started_at_ms: float = 0.0  # time of its last start; 0: long ago or unknown

    # Load
    in_flight: int = 0  # own attempts (#T in P-DACA)
    running: dict[Attempt, None] = field(default_factory=dict)
    unstarted: dict[Attempt, None] = field(default_factory=dict)  # oldest first
    mean_in_flight: TimeWeightedMean = field(default_factory=TimeWeightedMean)
    reported_jobs: float = 0.0
    reported_at_ms: float = -math.inf
    own_jobs_at_report: int = 0
    weight_reported_at_ms: float = -math.inf  # last load report by a weight in the endpoint list
    queue_wait_ms: float = 0.0  # delay of the last start beyond `min_start_delay_ms`
    queue_wait_at_ms: float = 0.0
    min_start_delay_ms: float = math.inf

    # Health
    expected_completions: float = 0.0  # completions expected in the run time of recent attempts; decays
    completions: float = 0.0  # actual completions of recent attempts; decays
    completions_at_ms: float = 0.0
    failure_score: DecayingScore = field(default_factory=DecayingScore)  # for not idempotent requests
    failure_count: float = 0.0  # of failed connections
    ejected_until_ms: float = 0.0
    avoided_until_ms: float = 0.0  # because peers reported a fault
    is_unreachable: bool = False
    unreachable_since_ms: float = 0.0
    last_progress_at_ms: float = 0.0  # last start or end of an attempt
    next_probation_at_ms: float = 0.0  # while it is stalled: when the next request may probe it
    class_ejections: dict[str, ClassEjection] = field(default_factory=dict)  # by class

    # Slow start
    cold_sends_at_ms: deque[float] = field(default_factory=deque)
    budget_window: int = -1  # the window that `budget_sends` applies to
    budget_sends: int = 0

    # Connections and cached data
    open_connections: int = 0  # estimated number of own connections
    last_sent_at_ms: float = 0.0
    cached_keys: RecentItems = field(default_factory=RecentItems)


@dataclass(slots=True, eq=False)
class AffinityKey:
    """A key's affinity set: the first `set_size` eligible workers of its order."""

    key_hash: int
    in_flight: int = 0  # own attempts (#T of the key in P-DACA)
    set_size: int = 1
    order: RendezvousOrder[Worker] = field(default_factory=RendezvousOrder)
    resized_at_ms: float = 0.0
    recent_requests: float = 0.0  # decaying count
    last_request_at_ms: float = 0.0


@dataclass(slots=True, eq=False)
class KeyQueue:
    """The requests of ordered classes with one key, oldest first. Only the first may be sent."""

    key: str
    requests: dict[RequestState, None] = field(default_factory=dict)
    blocked_until_ms: float = 0.0  # an attempt of an earlier request may still run until then


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at a worker."""

    worker: Worker
    request: RequestState
    sent_at_ms: float
    load_before: float  # estimated load of the worker without this attempt
    opens_connection: bool
    reconsider_at_ms: float = 0.0  # earliest time to look for another worker
    started_at_ms: float = -1.0  # negative: not started
    key_was_cached: bool = False
    has_ended: bool = False
    is_cancelled: bool = False


@dataclass(slots=True, eq=False)
class RequestState:
    """A request until its final answer, and until its last attempt has ended."""

    id: str
    job_class: JobClass
    key: AffinityKey
    received_at_ms: float
    deadline_ms: float
    is_over_quota: bool
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0
    is_answered: bool = False
    first_run_at_ms: float = -1.0  # send time of the first attempt that may have run; negative: none
    first_run_worker: Worker | None = None
    tried_workers: list[Worker] = field(default_factory=list)
    is_streaming: bool = False
    queue: KeyQueue | None = None


class DispatcherState:
    """The complete state of one dispatcher."""

    __slots__ = (
        "actions",
        "classes",
        "classes_failing_everywhere",
        "connection_cost_ms",
        "fleet_mean_weight",
        "hash_salt",
        "in_flight",
        "key_fetch_cost_ms",
        "key_queues",
        "keys",
        "known_workers",
        "load_updated_at_ms",
        "mean_worker_in_flight",
        "move_budget",
        "pools",
        "queued_requests",
        "quotas",
        "random",
        "ready_workers",
        "recent_idle_workers",
        "recent_requests",
        "requests",
        "service_times_ms",
        "settings",
        "sparse_traffic",
        "subscribe_backoff_ms",
        "subscribe_timer_set",
        "tick_interval_ms",
        "tick_timer_set",
        "traffic_ratio",
        "unblocked_queues",
        "unknown_class",
        "unobserved_share",
        "unstarted_attempts",
        "warm_up_window_offset_ms",
        "weights_reported",
        "workers",
        "zone_count",
    )

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.actions: list[Action] = []  # returned for the event that is being handled
        self.classes = {job_class.name: job_class for job_class in settings.classes}
        self.unknown_class = _unknown_class(settings.classes)

        # Workers
        self.workers: dict[str, Worker] = {}
        self.pools: dict[str, WorkerPool] = {}
        self.ready_workers: list[Worker] = []
        self.known_workers: list[Worker] = []  # in the order of first listing; includes removed ones
        self.recent_idle_workers: deque[Worker] = deque(maxlen=MAX_RECENT_IDLE_WORKERS)
        self.zone_count = 1  # number of zones with ready workers
        self.classes_failing_everywhere: set[str] = set()  # names of classes

        # Requests
        self.requests: dict[str, RequestState] = {}
        self.queued_requests: dict[str, RequestState] = {}  # have no attempt in flight; placed by a tick
        self.unstarted_attempts: dict[Attempt, None] = {}  # oldest first
        self.keys: dict[tuple[str, str | None], AffinityKey] = {}  # by key and kind of worker
        self.key_queues: dict[str, KeyQueue] = {}
        self.unblocked_queues: list[KeyQueue] = []
        self.in_flight = 0
        self.move_budget = 0.0  # number of unstarted requests that may be moved to other workers
        self.quotas: dict[str, TokenBucket] = create_token_buckets(settings)

        # Estimates
        self.hash_salt = self.random.getrandbits(63)  # differs between dispatchers
        self.load_updated_at_ms = 0.0
        self.recent_requests = 0.0  # decaying count
        self.mean_worker_in_flight = 0.0  # own attempts on one ready worker
        self.fleet_mean_weight = 1.0  # weight of the fleet's mean load in a worker's estimate
        self.unobserved_share = 0.0  # share of the fleet's traffic that own traffic does not show
        self.weights_reported = False  # the weights of the endpoint list depend on the loads of the workers
        self.sparse_traffic = settings.scheduler_count > SPARSE_TRAFFIC_SCHEDULERS
        self.traffic_ratio = 1.0  # traffic of this dispatcher over that of the mean dispatcher
        self.service_times_ms = RunningMeans(SERVICE_TIME_SAMPLES)  # by class
        self.key_fetch_cost_ms = MeanDifference(SERVICE_TIME_SAMPLES, MAX_SERVICE_TIME_RATIO)
        self.connection_cost_ms = 0.0

        # Timers
        self.warm_up_window_offset_ms = self.random.uniform(0.0, settings.overload_window_ms)
        self.tick_interval_ms = settings.connect_timeout_ms / TICKS_PER_CONNECT_TIMEOUT
        self.tick_timer_set = False
        self.subscribe_timer_set = False
        self.subscribe_backoff_ms = 0.0

    def get_class(self, name: str) -> JobClass:
        """Return the class of that name, or a class with the strictest objective if the name is unknown."""
        return self.classes.get(name, self.unknown_class)

    def hash_key(self, key: str | None) -> int:
        """Return the hash of a key. Requests without a key share a hash that differs between dispatchers."""
        return hash_name(key) if key else self.hash_salt

    def replace_classes(self, classes: tuple[JobClass, ...], max_attempts: int) -> None:
        """Use other classes for requests received from now on."""
        self.settings = replace(self.settings, classes=classes, max_attempts=max_attempts)
        self.classes = {job_class.name: job_class for job_class in classes}
        self.unknown_class = _unknown_class(classes)


def _unknown_class(classes: tuple[JobClass, ...]) -> JobClass:
    """Return the class of requests of an unknown class: it has the strictest objective of all classes."""
    strictest = min(classes, key=lambda job_class: job_class.latency_objective_ms)
    return JobClass("", strictest.latency_objective_ms, strictest.deadline_ms)
