"""A background accession that was refused unseen is acknowledged again, and never runs."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins_2 import (
    BROKEN,
    CAN_DO,
    HELD,
    SUBMIT_JOB_BG,
    TROUBLE,
    WORK_COMPLETE,
    Case,
    GearmanPeer,
    call,
    free_port,
    main,
    wait_until,
)

WORKERS = 6  # so that one is 17% of them: up to 19% may be silent
RUN_S = 3.5  # of an accession: 3.3 to 6.4 s
SILENT_S = 24.0  # 6.9 to 25 s
DEADLINE_S = 20  # of the function
FUNCTION = b"file_specimen"


class Fleet:
    """The workers, and what began where."""

    def __init__(self, case: Case, port: int) -> None:
        self.case = case
        self.port = port
        self.began: dict[str, str] = {}  # worker by unique id
        self.silent_until = 0.0  # of worker-0

    async def work(self, name: str) -> None:
        """Be one worker. While it is silent it keeps its connection and does nothing that it is asked."""
        peer = await GearmanPeer.connect(self.port)
        peer.send(CAN_DO, FUNCTION)
        while True:
            handle, unique, workload = await peer.next_job(before_grab=lambda: self._rest(name))
            self.began[unique.decode()] = name
            self.case.record.note(f"{name} BEGINS {unique.decode()}")
            await asyncio.sleep(RUN_S)
            peer.send(WORK_COMPLETE, handle, b"filed: " + workload)

    async def _rest(self, name: str) -> None:
        if name == "worker-0" and (left_s := self.silent_until - time.monotonic()) > 0:
            await asyncio.sleep(left_s)


async def body(case: Case) -> int:
    """Run the case."""
    note = case.record.note
    port = free_port()
    operator = case.write_operator_file(port, deadline_ms=DEADLINE_S * 1000)
    await case.discovery.tell("s-0", free_port(), "ready")
    daemon = await case.start_daemon(case.write_config(), "--operator", operator)
    await case.wait_until_up(daemon)
    fleet = Fleet(case, port)
    workers = []
    for number in range(WORKERS):
        workers.append(asyncio.create_task(fleet.work(f"worker-{number}")))
        await asyncio.sleep(0.1)
    client = await GearmanPeer.connect(port)
    if TROUBLE:
        fleet.silent_until = time.monotonic() + SILENT_S
        note(f"worker-0 is silent for {SILENT_S:g} s: it holds its connection and takes no notice")

    handles: dict[str, bytes] = {}
    for number in range(WORKERS):  # one for each worker
        unique = f"specimen-{number}"
        handles[unique] = await client.submit(SUBMIT_JOB_BG, FUNCTION, unique.encode(), b"sheets")
        note(f"client submitted {unique}, acknowledged with {handles[unique].decode()}")
        await asyncio.sleep(0.2)
    await asyncio.sleep(max(fleet.silent_until - time.monotonic(), 2 * RUN_S) + 1.0)
    known = [unique for unique, handle in handles.items() if await client.is_known(handle)]
    note(f"GET_STATUS: of these jobs the scheduler still knows {known or 'none'}")
    for unique, handle in handles.items():
        document = (await call(case.port, "GET", f"/jobs/{handle.decode()}")).document()
        note(f"{unique}: began at {fleet.began.get(unique, 'NO WORKER')}, {document}")
    lost = [unique for unique in handles if unique not in fleet.began and unique not in known]
    for unique in lost:
        handle = await client.submit(SUBMIT_JOB_BG, FUNCTION, unique.encode(), b"sheets")
        note(f"client submitted {unique} again, acknowledged with {handle.decode()}; all workers are idle")
    await wait_until(lambda: all(unique in fleet.began for unique in lost), DEADLINE_S + 5)
    lost = [unique for unique in lost if unique not in fleet.began]
    note(f"acknowledged twice, never begun and never answered: {lost}")
    for worker in workers:
        worker.cancel()
    return BROKEN if lost else HELD


if __name__ == "__main__":
    main(__file__, body)
