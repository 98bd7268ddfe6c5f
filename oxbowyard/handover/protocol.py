"""What each of the two processes does next, from what the files say: no I/O here but through `Marks`."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from enum import Enum

from .pid_files import Marks

log = logging.getLogger("oxbowyard.succession")  # as operators know it

WAIT_MOST = 4.5  # seconds from its start that a new process waits for the old one: its yes is owed within 6


class Step(Enum):
    """What the program is to do after a look at the files."""

    NOTHING = "nothing"
    TAKE_OVER = "take over"  # a new process: say yes from now on
    HAND_OVER = "hand over"  # the old process: a successor waits; stop taking clients
    RESUME = "resume"  # the old process: the successor went before it took over; take clients again


@dataclass(slots=True)
class Handover:
    """One process's side. A process that starts while another serves is a successor until it takes over."""

    files: Marks
    started: float  # clock seconds of the program's start
    waiting: bool = False  # a successor that has not taken over
    handing: bool = False  # the old process, handing over
    handed: bool = False  # the old process has said that it holds nothing any more

    def start(self) -> None:
        """At the program's start: a successor, if another process serves."""
        serving = self.files.other(self.files.serving)
        if serving is None:
            self._take_over()
            return
        log.info("process %d serves: this one takes over once it has handed over", serving)
        self.waiting = True
        self.files.write(self.files.successor)

    @property
    def successor(self) -> int | None:
        """The process that waits to take over from this one, if there is one."""
        return self.files.other(self.files.successor)

    @property
    def may_say_yes(self) -> bool:
        """Whether the operators may be told that this process is ready."""
        return not self.waiting and not self.handing

    def look(self, now: float, holds: int) -> Step:
        """Every `BEAT_EVERY`: `holds` is how many reqs this process holds."""
        files = self.files
        if self.waiting:
            files.touch(files.successor)
            handed = files.named(files.handed) == files.pid
            if handed or now - self.started >= WAIT_MOST or files.other(files.serving) is None:
                log.info("takes over: %s", "handed over" if handed else "the old process did not hand over")
                self._take_over()
                return Step.TAKE_OVER
            return Step.NOTHING
        files.touch(files.serving)
        if not self.handing:
            if self.successor is not None:
                self.handing = True
                return Step.HAND_OVER
            return Step.NOTHING
        successor = self.successor
        if successor is None and files.named(files.serving, fresh=False) == files.pid:
            self.handing = self.handed = False  # it went before it took over: nobody else has the clients
            return Step.RESUME
        if successor is not None and holds == 0 and not self.handed:
            self.handed = True
            files.write(files.handed, successor)
        return Step.NOTHING

    def _take_over(self) -> None:
        self.waiting = False
        self.files.write(self.files.serving)
        self.files.remove(self.files.successor)
        self.files.remove(self.files.handed)

    def end(self) -> None:
        """At the end: leave no file that names this process."""
        for path in (self.files.serving, self.files.successor):
            self.files.remove(path)
