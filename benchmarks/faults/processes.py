"""Several real processes of the program, each with a loopback address of its own, behind a relay."""

from __future__ import annotations

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from .relay import Thread

ROOT = Path(__file__).parent.parent.parent
PATIENCE = 30.0  # seconds for anything that is to come; it is there long before
LOOK = 0.05
DOORS = "127.79.0.1"  # of the operators; others' connections take no ports there


def free_port(host: str) -> int:
    """A port that is free for both UDP and TCP at this moment."""
    while True:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp, socket.socket() as tcp:
            udp.bind((host, 0))
            try:
                tcp.bind(udp.getsockname())
            except OSError:
                continue
            port: int = udp.getsockname()[1]
            return port


def until(found: Callable[[], Any], what: str, patience: float = PATIENCE) -> Any:
    """Wait for something that is true, and return it."""
    end = time.monotonic() + patience
    while not (value := found()):
        if time.monotonic() > end:
            raise AssertionError(f"not within {patience:g} s: {what}")
        time.sleep(LOOK)
    return value


@dataclass
class Member:
    """One process and what is needed to start it again."""

    name: str
    folder: Path
    host: str
    port: int
    door: int
    zone: str
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start it, with its own folder for all that it leaves."""
        env = os.environ | {
            "LB_CONFIG": str(self.folder / "config.json"), "TMPDIR": str(self.folder),
            "PYTHONUNBUFFERED": "1",
        }  # fmt: skip
        command = [sys.executable, "-m", "oxbowyard", "--operator", str(self.folder / "operator.toml")]
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, env=env, stderr=log)

    def log(self) -> str:
        """All that it has said."""
        return (self.folder / "log").read_text()

    def signal(self, number: int) -> None:
        """Send a signal to the process that was started here."""
        assert self.process is not None
        self.process.send_signal(number)

    def stop(self) -> None:
        """It stands still."""
        self.signal(signal.SIGSTOP)

    def go_on(self) -> None:
        """It runs again."""
        self.signal(signal.SIGCONT)

    def kill(self) -> None:
        """It ends without a word."""
        assert self.process is not None
        self.process.kill()
        self.process.wait(PATIENCE)

    def leave(self) -> int:
        """It ends as the operators end it; its exit code."""
        assert self.process is not None
        self.process.terminate()
        return self.process.wait(PATIENCE)

    def call(self, method: str, path: str) -> tuple[int, bytes]:
        """Ask at its door; status 0 if nobody answers."""
        connection = http.client.HTTPConnection(DOORS, self.door, timeout=2)
        try:
            connection.request(method, path)
            answer = connection.getresponse()
            return answer.status, answer.read()
        except OSError:
            return 0, b""
        finally:
            connection.close()

    def view(self) -> dict[str, Any]:
        """Its view of the group; empty if nobody answers."""
        status, body = self.call("GET", "/control/members")
        found: dict[str, Any] = json.loads(body) if status == 200 else {}
        return found

    def states(self) -> dict[str, str]:
        """What it takes each of the others for."""
        return {m["name"]: m["state"] for m in self.view().get("members", [])}

    def sees(self, state: str) -> set[str]:
        """The others that it takes to be so."""
        return {name for name, held in self.states().items() if held == state}


@dataclass
class Fleet:
    """All processes and the relay between them."""

    folder: Path
    config: dict[str, Any]
    relay: Thread
    table: dict[str, Any] = field(default_factory=dict)
    tables: dict[str, dict[str, Any]] = field(default_factory=dict)  # others of the operator's file
    kept: bool = False  # [start] keeps its list in each member's own folder
    members: dict[str, Member] = field(default_factory=dict)
    _reached: dict[str, str] = field(default_factory=dict)

    def add(self, size: int, zones: int = 1) -> list[Member]:
        """Make so many more, not started yet; the first two of all are everybody's seeds."""
        added = []
        for number in range(len(self.members), len(self.members) + size):
            name, host = f"m{number}", f"127.77.{number >> 8}.{(number & 255) + 1}"
            folder = self.folder / name
            folder.mkdir()
            port, door = free_port(host), free_port(DOORS)
            member = Member(name, folder, host, port, door, f"z{number % zones}")
            self._reached[name] = self.relay.add(name, host, port)
            self.members[name] = member
            added.append(member)
        for member in added:
            self.write(member)
        return added

    def write(self, member: Member, **changed: Any) -> None:
        """Write a member's files; `changed` keys of the table [membership] take the place of the usual."""
        seeds = list(self._reached.values())[:2]
        table = {
            "listen": f"{member.host}:{member.port}", "advertise": self._reached[member.name],
            "seeds": seeds, **self.table, **changed,
        }  # fmt: skip
        lines = [f"{key} = {json.dumps(value)}" for key, value in table.items()]
        text = ["[membership]", *lines]
        for name, other in self.tables.items():
            own = {"path": str(member.folder / "list")} if name == "start" and self.kept else {}
            text += [f"[{name}]", *(f"{key} = {json.dumps(value)}" for key, value in (own | other).items())]
        (member.folder / "operator.toml").write_text("\n".join([*text, ""]))
        settings = self.config["settings"] | {"myZone": member.zone, "zones": ["z0", "z1", "z2"]}
        document = self.config | {
            "name": member.name, "listen": "127.0.0.1:0", "admin": f"{DOORS}:{member.door}",
            "settings": settings,
        }  # fmt: skip
        (member.folder / "config.json").write_text(json.dumps(document))

    def __iter__(self) -> Iterator[Member]:
        return iter(self.members.values())

    def running(self) -> list[Member]:
        """Those that have been started and have not ended."""
        return [m for m in self if m.process is not None and m.process.poll() is None]

    def met(self) -> bool:
        """Every running one takes all running ones, and nobody else, to be alive."""
        names = {m.name for m in self.running()}
        return all(m.sees("alive") | {m.name} == names for m in self.running())

    def end(self) -> None:
        """End every process that was started here, by its id."""
        for member in self.running():
            member.signal(signal.SIGKILL)
        for member in self:
            if member.process is not None:
                member.process.wait(PATIENCE)
        self.relay.close()


@contextmanager
def fleet(folder: Path, config: dict[str, Any], seed: int = 1, **table: Any) -> Iterator[Fleet]:
    """Processes that end with the block, whatever happens in it."""
    made = Fleet(folder, config, Thread(seed), table)
    try:
        yield made
    finally:
        made.end()
