"""After SIGHUP a class must not run twice; a Gearman job of that class runs twice all the same."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins_2 import (
    BROKEN,
    CAN_DO,
    HELD,
    SUBMIT_JOB,
    TROUBLE,
    WORK_COMPLETE,
    WORK_FAIL,
    Case,
    CouldNotRunError,
    GearmanPeer,
    call,
    free_port,
    main,
)

WORKERS = 4  # so that one is a quarter of them: the share that the pages allow
RUN_S = 1.0  # of a preview: 550 to 1,100 ms
SETTLED_S = 3.0  # after SIGHUP; clients go by the new classes 1.2 s after it
FUNCTION = b"render_preview"
ADMIN_PORT = free_port()
# The preview of `deploy/gearman.toml`.
GEARMAN = """
listen = "127.0.0.1:{port}"
[functions.render_preview]
class = "preview"
deadline_ms = 10000
worth = 1.0
"""


def must_not_run_twice(document: dict[str, Any]) -> None:
    """Change the effect of a preview in the configuration."""
    document["admin"] = f"127.0.0.1:{ADMIN_PORT}"
    lane = next(lane for lane in document["settings"]["lanes"] if lane["name"] == "preview")
    lane["semantics"] = "single_shot"


def as_before(document: dict[str, Any]) -> None:
    """Leave the effects as they are: a preview is safe to repeat."""
    document["admin"] = f"127.0.0.1:{ADMIN_PORT}"


class Fleet:
    """The workers, and what ran."""

    def __init__(self, case: Case, port: int) -> None:
        self.case = case
        self.port = port
        self.runs: list[str] = []

    async def work(self, name: str) -> None:
        """Be one worker. The first that gets the job dies in the middle of it."""
        note = self.case.record.note
        peer = await GearmanPeer.connect(self.port)
        try:
            peer.send(CAN_DO, FUNCTION)
            while True:
                handle, unique, workload = await peer.next_job()
                self.runs.append(name)
                note(f"{name} BEGINS {unique.decode()}: run number {len(self.runs)}")
                await asyncio.sleep(RUN_S / 2)
                if TROUBLE and len(self.runs) == 1:
                    note(f"{name} dies in the middle of {unique.decode()}")
                    return
                await asyncio.sleep(RUN_S / 2)
                note(f"{name} has done {unique.decode()}")
                peer.send(WORK_COMPLETE, handle, b"rendered: " + workload)
        finally:
            peer.close()


async def body(case: Case) -> int:
    """Run the case."""
    note = case.record.note
    port = free_port()
    gearman = case.tmp / "gearman.toml"
    gearman.write_text(GEARMAN.format(port=port))
    await case.discovery.tell("s-0", free_port(), "ready")
    daemon = await case.start_daemon(case.write_config(as_before), "--gearman", str(gearman))
    await case.wait_until_up(daemon)
    fleet = Fleet(case, port)
    workers = [asyncio.create_task(fleet.work(f"worker-{number}")) for number in range(WORKERS)]
    await asyncio.sleep(1.0)

    case.write_config(must_not_run_twice)
    note("SIGHUP with a new configuration: a preview must not run twice")
    daemon.signal(signal.SIGHUP)
    await asyncio.sleep(SETTLED_S)
    counters = (await call(ADMIN_PORT, "GET", "/control/counters")).document()
    note(f"cfg_accepted={counters['cfg_accepted']} cfg_invalid={counters['cfg_invalid']}")
    if counters["cfg_accepted"] != 1:
        raise CouldNotRunError("the configuration was not taken")
    client = await GearmanPeer.connect(port)
    handle = await client.submit(SUBMIT_JOB, FUNCTION, b"sheet-7", b"sheet 7")
    note(f"client submitted preview sheet-7, handle {handle.decode()}")
    answer = 0
    while answer not in (WORK_COMPLETE, WORK_FAIL):
        answer, data = await client.receive()
        note(f"client got packet {answer} {data!r}")
    note(f"sheet-7 began to run {len(fleet.runs)} times: {fleet.runs}")
    for worker in workers:
        worker.cancel()
    return BROKEN if len(fleet.runs) > 1 else HELD


if __name__ == "__main__":
    main(__file__, body)
