"""The queue that shares the event loop's time between connections, and the buffer of what they received."""

from __future__ import annotations

import asyncio
import time

from oxbowyard.listeners.fair_queue import (
    LONGEST_WAITING_EVERY,
    MAX_ITERATION_S,
    FairQueue,
    RecentUse,
    SliceResult,
)
from oxbowyard.listeners.input_buffer import InputBuffer

SLICE_S = MAX_ITERATION_S / 2


class Source:
    """A source of a number of slices, each of which takes `SLICE_S`."""

    def __init__(self, name: str, slices: int, order: list[str]) -> None:
        self.recent_use = RecentUse()
        self._name, self._slices, self._order = name, slices, order

    def process_slice(self) -> SliceResult:
        end = time.perf_counter() + SLICE_S
        while time.perf_counter() < end:
            pass
        self._order.append(self._name)
        self._slices -= 1
        return SliceResult(self._slices > 0)


def test_one_busy_source_delays_others_by_one_iteration_of_the_loop() -> None:
    # Guards against a connection that holds the event loop for as long as its input lasts (issue 56).
    async def play() -> None:
        order: list[str] = []
        queue = FairQueue()
        queue.submit(Source("busy", 1000, order))
        await asyncio.sleep(0)
        assert len(order) <= 2 * MAX_ITERATION_S / SLICE_S + 1
        before = len(order)
        queue.submit(Source("light", 1, order))
        while "light" not in order:
            await asyncio.sleep(0)
        assert len(order) - before <= MAX_ITERATION_S / SLICE_S + 1

    asyncio.run(play())


def test_source_that_used_much_time_is_not_starved_by_new_ones() -> None:
    # Guards against an order in which a stream of new connections keeps an older one waiting forever.
    async def play() -> None:
        order: list[str] = []
        queue = FairQueue()
        old = Source("old", 2, order)
        old.recent_use.add(1000.0)
        for number in range(2 * LONGEST_WAITING_EVERY):
            if number == 2:
                queue.submit(old)
            queue.submit(Source("new", 1, order))
        while order.count("old") < 1:
            queue.submit(Source("new", 1, order))
            await asyncio.sleep(0)
        assert len(order) < 4 * LONGEST_WAITING_EVERY

    asyncio.run(play())


def test_ended_sources_are_not_kept() -> None:
    # Guards against a queue that keeps the connections that ended while they waited (issue 56).
    async def play() -> None:
        order: list[str] = []
        queue = FairQueue()
        queue.submit(Source("busy", 100_000, order))
        for _ in range(1000):
            source = Source("ended", 1, order)
            queue.submit(source)
            queue.discard(source)
        await asyncio.sleep(0)
        assert len(queue._heap) < 10 and "ended" not in order

    asyncio.run(play())


def test_input_buffer_returns_what_was_appended() -> None:
    buffer = InputBuffer()
    for number, piece in enumerate((b"abcdef", b"gh", b"i")):
        buffer.append(piece, float(number))
    taken = []
    while buffer:
        taken.append((buffer.take(4), buffer.taken_received_at))
    assert taken == [(b"abcd", 0.0), (b"ef", 0.0), (b"gh", 1.0), (b"i", 2.0)]
    assert buffer.size_bytes == 0 and buffer.take(4) == b""
