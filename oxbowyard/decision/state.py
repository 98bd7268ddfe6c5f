"""The records of a dispatcher: workers, keys, jobs and attempts, and what is known of the fleet as a whole.

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

SPARSE_TRAFFIC_SCHEDULERS = 10  # with more of them own traffic shows under a tenth of a worker's jobs
MAX_RECENT_IDLE_WORKERS = 4
SERVICE_TIME_SAMPLES = 200
MAX_SERVICE_TIME_RATIO = 8.0  # a job counts for no more than this multiple of the mean: long tails
TICKS_PER_CONNECT_TIMEOUT = 4  # the shortest wait is a connect time-out; housekeeping is more frequent


@dataclass(slots=True, eq=False)
class WorkerPool:
    """The workers of one kind: what is learned of one holds for all."""

    max_concurrency: int  # the most jobs seen running on one worker at once
    slots: float  # the estimated load at which jobs begin to wait
    min_slots: float
    is_exclusive: bool = False  # no other dispatcher sends here: own traffic is all traffic
    service_time_ratio: float = 1.0  # a job's service time here over the mean of its class
    hashed_service_time_ratio: float = 1.0  # the ratio by which the keys' orders were made
    mean_service_time_ms: float = 0.0
    mean_queue_wait_ms: float = 0.0
    mean_reported_jobs: float = 0.0  # on one worker; 0: no reports
    largest_weight: float = 0.0  # where weights fall with the load: the size of a worker of this kind
    completed_jobs: int = 0
    first_start_at_ms: float = math.inf
    ready_count: int = 0
    ejected_count: int = 0


@dataclass(slots=True, frozen=True)
class ClassEjection:
    """A worker's failures of one class, and until when it is ejected for that class."""

    failure_count: float
    until_ms: float


@dataclass(slots=True, eq=False)
class Worker:
    """What the dispatcher knows of a worker, from its own traffic, the endpoint list and peers."""

    name: str
    zone: str
    kind: str
    cell: int
    name_hash: int
    weight: float
    pool: WorkerPool
    is_ready: bool = False
    classes: frozenset[str] | None = None
    started_at_ms: float = 0.0  # its last start; 0: long ago

    # Load
    in_flight: int = 0  # own attempts: #T of P-DACA
    running: dict[Attempt, None] = field(default_factory=dict)
    unstarted: dict[Attempt, None] = field(default_factory=dict)  # oldest first
    mean_in_flight: TimeWeightedMean = field(default_factory=TimeWeightedMean)
    reported_jobs: float = 0.0
    reported_at_ms: float = -math.inf
    own_jobs_at_report: int = 0
    weight_reported_at_ms: float = -math.inf  # the last report that came as a weight in the endpoint list
    queue_wait_ms: float = 0.0  # of the last start, beyond the shortest start delay seen
    queue_wait_at_ms: float = 0.0
    min_start_delay_ms: float = math.inf

    # Health
    expected_completions: float = 0.0  # jobs that should have ended in the time that recent ones took
    completions: float = 0.0  # and how many did
    completions_at_ms: float = 0.0
    failure_score: DecayingScore = field(default_factory=DecayingScore)  # for jobs that must not run twice
    failure_count: float = 0.0  # of connections
    ejected_until_ms: float = 0.0
    avoided_until_ms: float = 0.0  # because of what peers report
    is_unreachable: bool = False
    unreachable_since_ms: float = 0.0
    last_progress_at_ms: float = 0.0  # a job began or ended there
    next_probation_at_ms: float = 0.0  # while it is stalled: when a job may be tried there
    class_ejections: dict[str, ClassEjection] = field(default_factory=dict)  # by class

    # Slow start
    cold_sends_at_ms: deque[float] = field(default_factory=deque)
    budget_window: int = -1  # the window that `budget_sends` holds for
    budget_sends: int = 0

    # Connections and cached data
    open_connections: int = 0  # own ones, as far as known
    last_sent_at_ms: float = 0.0
    cached_keys: RecentItems = field(default_factory=RecentItems)


@dataclass(slots=True, eq=False)
class AffinityKey:
    """A key's affinity set: the first `set_size` eligible workers of its order."""

    key_hash: int
    in_flight: int = 0  # #T of the key
    set_size: int = 1
    order: RendezvousOrder[Worker] = field(default_factory=RendezvousOrder)
    resized_at_ms: float = 0.0
    recent_requests: float = 0.0  # a count that decays
    last_request_at_ms: float = 0.0


@dataclass(slots=True, eq=False)
class KeyQueue:
    """The requests of one key whose class is in order, oldest first: only the first may be sent."""

    key: str
    requests: dict[RequestState, None] = field(default_factory=dict)
    blocked_until_ms: float = 0.0  # an attempt of an earlier request may still run until then


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a job at a worker."""

    worker: Worker
    request: RequestState
    sent_at_ms: float
    load_before: float  # the worker's estimated load without it
    opens_connection: bool
    reconsider_at_ms: float = 0.0  # when to look for another worker
    started_at_ms: float = -1.0  # below 0: not started
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
    first_run_at_ms: float = -1.0  # when the first attempt that may have run was sent
    first_run_worker: Worker | None = None
    tried_workers: list[Worker] = field(default_factory=list)
    is_streaming: bool = False
    queue: KeyQueue | None = None


class DispatcherState:
    """Everything that one dispatcher knows."""

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
        self.actions: list[Action] = []  # of the event that is being handled
        self.classes = {job_class.name: job_class for job_class in settings.classes}
        strictest = min(settings.classes, key=lambda job_class: job_class.latency_objective_ms)
        self.unknown_class = JobClass("", strictest.latency_objective_ms, strictest.deadline_ms)

        # Workers
        self.workers: dict[str, Worker] = {}
        self.pools: dict[str, WorkerPool] = {}
        self.ready_workers: list[Worker] = []
        self.known_workers: list[Worker] = []  # in the order in which they were first listed; gone ones too
        self.recent_idle_workers: deque[Worker] = deque(maxlen=MAX_RECENT_IDLE_WORKERS)
        self.zone_count = 1  # zones with ready workers
        self.classes_failing_everywhere: set[str] = set()  # names of classes

        # Requests
        self.requests: dict[str, RequestState] = {}
        self.queued_requests: dict[
            str, RequestState
        ] = {}  # without an attempt in flight, to be decided later
        self.unstarted_attempts: dict[Attempt, None] = {}  # oldest first
        self.keys: dict[tuple[str, str | None], AffinityKey] = {}  # by key and kind of worker
        self.key_queues: dict[str, KeyQueue] = {}
        self.unblocked_queues: list[KeyQueue] = []
        self.in_flight = 0
        self.move_budget = 0.0  # how many unstarted jobs may be moved to another worker
        self.quotas: dict[str, TokenBucket] = create_token_buckets(settings)

        # Estimates
        self.hash_salt = self.random.getrandbits(63)  # differs from one dispatcher to the next
        self.load_updated_at_ms = 0.0
        self.recent_requests = 0.0  # a count that decays
        self.mean_worker_in_flight = 0.0  # own attempts on one ready worker
        self.fleet_mean_weight = 1.0  # weight of the fleet's mean load in a worker's estimate
        self.unobserved_share = 0.0  # share of the fleet's traffic that own traffic does not show
        self.weights_reported = False  # the endpoint list's weights tell the workers' loads
        self.sparse_traffic = settings.scheduler_count > SPARSE_TRAFFIC_SCHEDULERS
        self.traffic_ratio = 1.0  # this dispatcher's traffic over the mean dispatcher's
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
        """The class of that name; for an unknown name a class with the strictest objective."""
        return self.classes.get(name, self.unknown_class)

    def hash_key(self, key: str | None) -> int:
        """The hash of a request's key; requests without a key share one that differs by dispatcher."""
        return hash_name(key) if key else self.hash_salt

    def replace_classes(self, classes: tuple[JobClass, ...], max_attempts: int) -> None:
        """Use other classes for requests received from now on."""
        self.settings = replace(self.settings, classes=classes, max_attempts=max_attempts)
        self.classes = {job_class.name: job_class for job_class in classes}
