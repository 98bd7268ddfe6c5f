"""The handover protocol: a state machine that runs in both processes. All I/O is done by `PidFiles`."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from enum import Enum

from .pid_files import PidFiles

log = logging.getLogger("oxbowyard.handover")

MAX_WAIT_S = 4.5  # a new process waits for the old one this long: it must be ready within 6 s of its start


class HandoverState(Enum):
    """The state of one process in a handover."""

    WAITING = "waiting"  # successor that has not taken over yet
    SERVING = "serving"
    HANDING_OVER = "handing over"  # old process: a successor waits, and requests are still in flight
    HANDED_OVER = "handed over"  # old process: it has notified the successor that it has no open request


class Action(Enum):
    """What the program has to do after a poll of the pid files."""

    NONE = "none"
    TAKE_OVER = "take over"  # new process: report readiness from now on
    HAND_OVER = "hand over"  # old process: a successor waits, stop accepting clients
    RESUME = "resume"  # old process: the successor exited before it took over, accept clients again


@dataclass(slots=True)
class Handover:
    """The handover state of one process. A process that starts while another serves is its successor."""

    files: PidFiles
    started_at: float  # start of the program, in seconds on the clock of `poll`
    state: HandoverState = HandoverState.SERVING

    def start(self) -> None:
        """Start to serve, or to wait as the successor of the serving process."""
        serving_pid = self.files.other_process(self.files.serving)
        if serving_pid is None:
            self._take_over()
            return
        log.info("successor waits for the serving process to hand over: pid=%d", serving_pid)
        self.state = HandoverState.WAITING
        self.files.write(self.files.successor)

    @property
    def is_waiting(self) -> bool:
        """Whether this process is a successor that has not taken over yet."""
        return self.state is HandoverState.WAITING

    @property
    def has_other_process(self) -> bool:
        """Whether a predecessor or a successor of this process runs beside it."""
        return self.state is not HandoverState.SERVING

    @property
    def successor(self) -> int | None:
        """The pid of the process that waits to take over from this one, or None."""
        return self.files.other_process(self.files.successor)

    @property
    def may_report_ready(self) -> bool:
        """Whether the admin API may report this process as ready."""
        return self.state is HandoverState.SERVING

    def poll(self, now: float, in_flight: int) -> Action:
        """Read the pid files and return the next action. To be called every `HEARTBEAT_INTERVAL_S`.

        `now` is in seconds on the clock of `started_at`; `in_flight` is the number of this process's open
        requests.
        """
        if self.state is HandoverState.WAITING:
            return self._poll_as_successor(now)
        self.files.touch(self.files.serving)
        if self.state is HandoverState.SERVING:
            return self._poll_as_serving()
        return self._poll_as_predecessor(in_flight)

    def decline(self) -> None:
        """Postpone the handover: the next poll returns HAND_OVER again if a successor waits."""
        self.state = HandoverState.SERVING

    def end(self) -> None:
        """Remove the files that contain the pid of this process."""
        for path in (self.files.serving, self.files.successor):
            self.files.remove(path)

    def _poll_as_successor(self, now: float) -> Action:
        files = self.files
        files.touch(files.successor)
        handed_over = files.read_pid(files.handed_over) == files.pid
        waited_too_long = now - self.started_at >= MAX_WAIT_S
        if not (handed_over or waited_too_long or files.other_process(files.serving) is None):
            return Action.NONE
        log.info("successor took over: handed_over=%s", "yes" if handed_over else "no")
        self._take_over()
        return Action.TAKE_OVER

    def _poll_as_serving(self) -> Action:
        if self.successor is None:
            return Action.NONE
        self.state = HandoverState.HANDING_OVER
        return Action.HAND_OVER

    def _poll_as_predecessor(self, in_flight: int) -> Action:
        files = self.files
        successor = self.successor
        if successor is None and files.read_pid(files.serving, ignore_stale=False) == files.pid:
            self.state = HandoverState.SERVING  # the successor exited before it took over the clients
            return Action.RESUME
        if successor is not None and in_flight == 0 and self.state is HandoverState.HANDING_OVER:
            self.state = HandoverState.HANDED_OVER
            files.write(files.handed_over, successor)
        return Action.NONE

    def _take_over(self) -> None:
        self.state = HandoverState.SERVING
        self.files.write(self.files.serving)
        self.files.remove(self.files.successor)
        self.files.remove(self.files.handed_over)
