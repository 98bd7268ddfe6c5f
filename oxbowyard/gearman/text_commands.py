"""The text commands for operators of the Gearman front."""

from __future__ import annotations

import re

from .config import GearmanConfig
from .jobs import Jobs
from .workers import Workers

VERSION = "oxbowyard 0.1.0"

MAX_QUEUE_PATTERN = re.compile(r"-?[0-9]{1,9}")

END_OF_LIST = ".\n"
OK = "OK\n"
UNKNOWN_COMMAND = "ERR UNKNOWN_COMMAND Unknown+server+command\n"
UNKNOWN_FUNCTION = "ERR UNKNOWN_FUNCTION No+such+function\n"
INCOMPLETE_ARGUMENTS = "ERR INCOMPLETE_ARGS maxqueue+takes+a+function+and+a+number\n"


class TextCommands:
    """Answers text commands, one line at a time."""

    def __init__(self, config: GearmanConfig, jobs: Jobs, workers: Workers) -> None:
        self._functions = config.functions
        self._jobs = jobs
        self._workers = workers

    def answer(self, line: str) -> str:
        """Return the response to a command line."""
        match line.split():
            case ["status"]:
                return self._status()
            case ["workers"]:
                return self._list_workers()
            case ["version"]:
                return f"OK {VERSION}\n"
            case ["maxqueue", function, *arguments]:
                return self._set_max_queue(function, arguments)
        return UNKNOWN_COMMAND

    def _status(self) -> str:
        lines = []
        for name in self._functions:
            counts = self._jobs.counts(name)
            lines.append(f"{name}\t{counts.total}\t{counts.running}\t{self._workers.count_capable(name)}\n")
        return "".join(lines) + END_OF_LIST

    def _list_workers(self) -> str:
        lines = []
        for number, worker in enumerate(self._workers.connected.values(), 1):
            abilities = " ".join(worker.abilities)
            lines.append(f"{number} {worker.connection.address} {worker.client_id} : {abilities}\n")
        return "".join(lines) + END_OF_LIST

    def _set_max_queue(self, function: str, arguments: list[str]) -> str:
        if function not in self._functions:
            return UNKNOWN_FUNCTION
        if not arguments:
            self._jobs.limits.reset_max_waiting(function)
            return OK
        if len(arguments) > 1 or not MAX_QUEUE_PATTERN.fullmatch(arguments[0]):
            return INCOMPLETE_ARGUMENTS
        self._jobs.limits.set_max_waiting(function, int(arguments[0]))
        return OK
