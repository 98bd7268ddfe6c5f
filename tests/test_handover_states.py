"""States in which the program hands its clients over to a successor."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from scheduler_harness import GatedConnectLoop, SchedulerHarness

from oxbowyard.daemon.loading import LoadedConfiguration
from oxbowyard.daemon.program import Program
from oxbowyard.daemon.shutdown import abort_startup
from oxbowyard.daemon.states import State
from oxbowyard.handover.pid_files import PidFiles
from oxbowyard.handover.protocol import Action

OWN_PID, SUCCESSOR_PID = 100, 200


async def poll(program: Program) -> Action:
    """Read the PID files once and do what the handover asks for."""
    restart = program.hot_restart
    action = restart.handover.poll(asyncio.get_running_loop().time(), in_flight=0)
    if action is Action.HAND_OVER:
        await restart._hand_over()
    return action


@pytest.mark.parametrize("state", [State.STARTING, State.LEAVING])
def test_a_process_that_is_not_serving_never_reports_handed_over(state: State, tmp_path: Path) -> None:
    # Guards against a process that reports "handed over" to its successor but still accepts clients.
    async def scene() -> None:
        config = SchedulerHarness(tmp_path).config
        program = Program(lambda: LoadedConfiguration(config))
        files = PidFiles(tmp_path, config.name, OWN_PID)
        program.hot_restart.handover.files = files
        program.hot_restart.handover.start()
        successor = PidFiles(tmp_path, config.name, SUCCESSOR_PID)
        successor.write(successor.successor)
        if state is State.LEAVING:
            program.context.states.enter(State.LEAVING)
        for _ in range(4):
            await poll(program)
        assert files.read_pid(files.handed_over) is None
        if state is State.STARTING:  # it hands over once it is serving
            program.context.states.enter(State.SERVING)
            program.context.acceptor = program.context.bind_clients()
            program.context.acceptor.open()
            successor.touch(successor.successor)
            assert await poll(program) is Action.HAND_OVER
            assert program.context.states.current is State.HANDING_OVER
            await poll(program)
            assert files.read_pid(files.handed_over) == SUCCESSOR_PID
        await abort_startup(program.context)

    with asyncio.Runner(loop_factory=GatedConnectLoop) as runner:
        runner.run(scene())
