"""A Gearman client that waits for a stored job gets no final answer when the job's worker dies."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins_2 import (
    BROKEN,
    CAN_DO,
    HELD,
    SUBMIT_JOB,
    SUBMIT_JOB_BG,
    TROUBLE,
    WORK_COMPLETE,
    WORK_FAIL,
    Case,
    GearmanPeer,
    free_port,
    main,
)

WORKERS = 4  # so that one is a quarter of them: the share that the pages allow
RUN_S = 4.0  # of an accession: 3.3 to 6.4 s
DEADLINE_S = 25.0  # of an accession: its client gives up then
SLACK_S = 5.0
FUNCTION = b"file_specimen"


class Fleet:
    """The workers."""

    def __init__(self, case: Case, port: int) -> None:
        self.case = case
        self.port = port
        self.running = ""  # name of the worker that runs the accession
        self.began = asyncio.Event()

    async def work(self, name: str) -> None:
        """Be one worker; cancelled, it dies."""
        note = self.case.record.note
        peer = await GearmanPeer.connect(self.port)
        try:
            peer.send(CAN_DO, FUNCTION)
            while True:
                handle, unique, workload = await peer.next_job()
                note(f"{name} BEGINS {unique.decode()}")
                self.running = name
                self.began.set()
                await asyncio.sleep(RUN_S)
                note(f"{name} has done {unique.decode()}")
                peer.send(WORK_COMPLETE, handle, b"filed: " + workload)
        finally:
            peer.close()


async def body(case: Case) -> int:
    """Run the case."""
    note = case.record.note
    port = free_port()
    operator = case.write_operator_file(port)
    await case.discovery.tell("s-0", free_port(), "ready")
    daemon = await case.start_daemon(case.write_config(), "--operator", operator)
    await case.wait_until_up(daemon)
    fleet = Fleet(case, port)
    workers = {f"worker-{n}": asyncio.create_task(fleet.work(f"worker-{n}")) for n in range(WORKERS)}
    await asyncio.sleep(0.5)

    batch_tool = await GearmanPeer.connect(port)
    handle = await batch_tool.submit(SUBMIT_JOB_BG, FUNCTION, b"specimen-4711", b"specimen 4711")
    note(f"batch tool submitted specimen-4711 in the background, handle {handle.decode()}")
    desk = await GearmanPeer.connect(port)
    handle = await desk.submit(SUBMIT_JOB, FUNCTION, b"specimen-4711", b"specimen 4711")
    note(f"desk submitted specimen-4711 and waits for it, handle {handle.decode()}")
    submitted = time.monotonic()
    async with asyncio.timeout(5):
        await fleet.began.wait()
    await asyncio.sleep(1.0)
    if TROUBLE:
        note(f"{fleet.running} dies in the middle of specimen-4711")
        workers[fleet.running].cancel()
    answer = 0
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(submitted + DEADLINE_S + SLACK_S - time.monotonic()):
            while answer not in (WORK_COMPLETE, WORK_FAIL):
                answer, data = await desk.receive()
                note(f"desk got packet {answer} {data!r}")
    waited_s = time.monotonic() - submitted
    note(f"final answer of the desk after {waited_s:.1f} s: {answer or 'NONE'}")
    for worker in workers.values():
        worker.cancel()
    return HELD if answer in (WORK_COMPLETE, WORK_FAIL) else BROKEN


if __name__ == "__main__":
    main(__file__, body)
