"""Workers are killed at random (seeded); every accession is counted on both ends."""

from __future__ import annotations

import asyncio
import random
import re
import struct
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import pytest
from exchange_player import ExchangePlayer, SchedulerProcess

JOBS = 150
WORKERS = 4
COMPLETE, FAIL, CREATED, ASSIGN, NO_JOB, NOOP, WARNING = 13, 14, 8, 11, 10, 6, 29


def packet(type_: int, *arguments: bytes) -> bytes:
    data = b"\0".join(arguments)
    return struct.pack(">4sII", b"\0REQ", type_, len(data)) + data


async def read(reader: asyncio.StreamReader) -> tuple[int, list[bytes]]:
    _, type_, size = struct.unpack(">4sII", await reader.readexactly(12))
    return type_, (await reader.readexactly(size)).split(b"\0")


@dataclass
class Tally:
    """What both ends saw."""

    handed_out: Counter[bytes] = field(default_factory=Counter)
    completed: set[bytes] = field(default_factory=set)
    killed_with: set[bytes] = field(default_factory=set)
    ends: dict[bytes, int] = field(default_factory=dict)


async def worker(address: tuple[str, int], dice: random.Random, tally: Tally) -> None:
    """Works until its time has come, then its connection is reset with a job in hand; another takes over."""
    while True:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(packet(1, b"file_specimen") + packet(1, b"render_preview"))
        while True:
            writer.write(packet(9))
            type_, arguments = await read(reader)
            if type_ == NO_JOB:
                writer.write(packet(4))
                assert (await read(reader))[0] == NOOP
                continue
            assert type_ == ASSIGN
            handle, _, workload = arguments
            tally.handed_out[workload] += 1
            if dice.random() < 0.2:
                tally.killed_with.add(workload)
                writer.transport.abort()
                break
            await asyncio.sleep(dice.uniform(0, 0.004))
            tally.completed.add(workload)
            writer.write(packet(COMPLETE, handle, b"filed " + workload))


async def client(address: tuple[str, int], workloads: list[bytes], tally: Tally) -> None:
    reader, writer = await asyncio.open_connection(*address)
    for workload in workloads:
        function = b"file_specimen" if workload.startswith(b"a") else b"render_preview"
        writer.write(packet(7, function, b"", workload))
        type_, (handle, *_) = await read(reader)
        assert type_ == CREATED
        while type_ not in (COMPLETE, FAIL):
            type_, arguments = await read(reader)
            assert arguments[0] == handle
        assert workload not in tally.ends, "a second end"
        tally.ends[workload] = type_
        if type_ == COMPLETE:
            assert arguments[1] == b"filed " + workload
    writer.close()


async def play(address: tuple[str, int], seed: int) -> Tally:
    tally, dice = Tally(), random.Random(seed)
    fates = [random.Random(dice.random()) for _ in range(WORKERS)]
    workers = [asyncio.create_task(worker(address, fate, tally)) for fate in fates]
    names = [b"%s%d" % (b"ap"[i % 2 : i % 2 + 1], i) for i in range(JOBS)]
    async with asyncio.timeout(60):
        await asyncio.gather(*(client(address, names[i::6], tally) for i in range(6)))
    for task in workers:
        assert not task.done(), task.exception()
        task.cancel()
    await asyncio.gather(*workers, return_exceptions=True)
    return tally


@pytest.mark.parametrize("seed", [1, 2])
def test_every_accession_is_counted(seed: int, tmp_path: Path) -> None:
    script = tmp_path / "start.txt"
    script.write_text('start gearman:max_queue=1000\nlist {"rev":1,"all":true,"targets":[]}\n')
    player = ExchangePlayer(script, tmp_path)
    try:
        for _, line in player.lines:
            player._run_line(line)
        assert player.program
        tally = asyncio.run(play(player.program.address("gearman"), seed))
        check(tally, player.program)
    finally:
        player.end()


def check(tally: Tally, program: SchedulerProcess) -> None:
    assert len(tally.ends) == JOBS and tally.killed_with
    for workload, times in tally.handed_out.items():
        if workload.startswith(b"a"):
            assert times == 1, "an accession was handed out again"
            wanted = FAIL if workload in tally.killed_with else COMPLETE
            assert tally.ends[workload] == wanted
        else:
            assert times <= 3
    for workload, end in tally.ends.items():
        assert (end == COMPLETE) == (workload in tally.completed)
        assert end == COMPLETE or workload in tally.killed_with or not tally.handed_out[workload]
    program.process.terminate()
    found = program.wait_for(r"last: service .*answers: (.*)")[1]
    counts = {kind: int(n) for kind, n in re.findall(r"(\w+) (\d+)", found)}
    assert sum(counts.values()) == JOBS
    assert counts["served"] == sum(end == COMPLETE for end in tally.ends.values())
