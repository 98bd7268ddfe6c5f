"""A late WORK_COMPLETE that comes while the jobs of the killed process are read back is lost for good."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
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
    connect_again,
    free_port,
    main,
)

NIGHT_JOBS = 8000  # previews and label checks that are due tomorrow; 10,000 may wait
RUN_S = 2.0  # of an accession
ANSWER_WITHIN_S = 30.0  # 25 s is the deadline of an accession
FUNCTION = b"file_specimen"


async def work(case: Case, port: int) -> None:
    """Run accessions like a sound worker: after a lost connection, connect again and report what was done."""
    note = case.record.note
    done: tuple[bytes, bytes] | None = None  # handle and result that could not be reported
    while True:
        peer = await connect_again(port)
        note("worker connected")
        with contextlib.suppress(ConnectionError):
            peer.send(CAN_DO, FUNCTION)
            if done is not None:
                note(f"worker reports WORK_COMPLETE for {done[0].decode()}")
                peer.send(WORK_COMPLETE, *done)
                done = None
            while True:
                handle, unique, workload = await peer.next_job()
                note(f"worker BEGINS TO RUN {unique.decode()}, handle {handle.decode()}")
                listening = asyncio.ensure_future(peer.receive())
                await asyncio.sleep(RUN_S)
                note(f"worker has done {unique.decode()}")
                result = b"filed: " + workload
                if listening.done():
                    done = (handle, result)
                    listening.result()
                listening.cancel()
                note(f"worker reports WORK_COMPLETE for {handle.decode()}")
                peer.send(WORK_COMPLETE, handle, result)
        peer.close()


async def body(case: Case) -> int:
    """Run the case."""
    note = case.record.note
    port = free_port()
    operator = case.write_operator_file(port)
    config = case.write_config()
    await case.discovery.tell("s-0", free_port(), "ready")
    daemon = await case.start_daemon(config, "--operator", operator)
    await case.wait_until_up(daemon)
    await case.hand_in_night_jobs(NIGHT_JOBS)

    worker = asyncio.create_task(work(case, port))
    client = await GearmanPeer.connect(port)
    handle = (await client.submit(SUBMIT_JOB_BG, FUNCTION, b"specimen-4711", b"specimen 4711")).decode()
    note(f"client submitted accession specimen-4711 and got the handle {handle}")
    await asyncio.sleep(RUN_S / 4)
    if TROUBLE:
        note("scheduler is killed and started again")
        daemon.signal(signal.SIGKILL)
        await daemon.process.wait()
        await asyncio.sleep(RUN_S)  # the worker is ready before the scheduler is back
        daemon = await case.start_daemon(config, "--operator", operator)
        await case.wait_until_up(daemon)
    state = ""
    for _ in range(int(ANSWER_WITHIN_S)):
        answer = await call(case.port, "GET", f"/jobs/{handle}")
        document = answer.document()
        if f"{document.get('state')} {document.get('end')}" != state:
            state = f"{document.get('state')} {document.get('end')}"
            note(f"state of the accession: {answer.body.decode()}")
        if document.get("state") == "ended":
            break
        await asyncio.sleep(1.0)
    worker.cancel()
    return HELD if state == "ended served" else BROKEN


if __name__ == "__main__":
    main(__file__, body)
