"""Runs groups of real daemon processes, each on its own loopback address, connected through a relay."""

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

from .relay import RelayThread

ROOT = Path(__file__).parent.parent.parent
TIMEOUT_S = 30.0  # generous: a healthy group needs far less
POLL_INTERVAL_S = 0.05
REPORTED_LOG_LINES = 10  # of each process, when a group's test fails


def _own_loopback_host() -> str:
    """Return a loopback address that no other running test process uses."""
    pid = os.getpid()
    return f"127.{128 + (pid >> 16) % 64}.{pid >> 8 & 255}.{pid & 255}"


ADMIN_HOST = _own_loopback_host()  # for the admin APIs alone: no outgoing connection takes a port there
_returned_ports: set[tuple[str, int]] = set()


def free_port(host: str) -> int:
    """Return a port that is free for both UDP and TCP at this moment, and was not returned before."""
    while True:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp, socket.socket() as tcp:
            udp.bind((host, 0))
            try:
                tcp.bind(udp.getsockname())
            except OSError:
                continue
            port: int = udp.getsockname()[1]
            if (host, port) not in _returned_ports:
                _returned_ports.add((host, port))
                return port


def wait_until(condition: Callable[[], Any], what: str, timeout_s: float = TIMEOUT_S) -> Any:
    """Poll until the condition returns a true value, and return that value."""
    end = time.monotonic() + timeout_s
    while not (value := condition()):
        if time.monotonic() > end:
            raise AssertionError(f"not within {timeout_s:g} s: {what}")
        time.sleep(POLL_INTERVAL_S)
    return value


@dataclass
class Member:
    """One daemon process, with its files and ports, so that it can be started again."""

    name: str
    folder: Path
    host: str
    port: int
    admin_port: int
    zone: str
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process; its log and temporary files go to its own folder."""
        env = os.environ | {
            "LB_CONFIG": str(self.folder / "config.json"), "TMPDIR": str(self.folder),
            "PYTHONUNBUFFERED": "1",
        }  # fmt: skip
        command = [sys.executable, "-m", "oxbowyard", "--operator", str(self.folder / "operator.toml")]
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, env=env, stderr=log)

    def log(self) -> str:
        """Return the log of all its runs so far."""
        return (self.folder / "log").read_text()

    def report(self) -> str:
        """Return whether the process runs, and the end of its log."""
        code = self.process.poll() if self.process is not None else None
        state = (
            "not started" if self.process is None else "running" if code is None else f"exited with {code}"
        )
        lines = self.log().splitlines()[-REPORTED_LOG_LINES:] if self.process is not None else []
        return "\n".join([f"{self.name}: {state}", *(f"    {line}" for line in lines)])

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process with SIGCONT."""
        self.signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kill the process, so that it cannot announce that it leaves."""
        assert self.process is not None
        self.process.kill()
        self.process.wait(TIMEOUT_S)

    def terminate(self) -> int:
        """Send SIGTERM, so that the member leaves the group; return its exit code."""
        assert self.process is not None
        self.process.terminate()
        return self.process.wait(TIMEOUT_S)

    def call(self, method: str, path: str) -> tuple[int, bytes]:
        """Call its admin API; return status 0 if it does not answer."""
        connection = http.client.HTTPConnection(ADMIN_HOST, self.admin_port, timeout=2)
        try:
            connection.request(method, path)
            answer = connection.getresponse()
            return answer.status, answer.read()
        except OSError:
            return 0, b""
        finally:
            connection.close()

    def view(self) -> dict[str, Any]:
        """Return its view of the group; empty if it does not answer."""
        status, body = self.call("GET", "/control/members")
        view: dict[str, Any] = json.loads(body) if status == 200 else {}
        return view

    def states(self) -> dict[str, str]:
        """Return the state that it assigns to each other member, by name."""
        return {m["name"]: m["state"] for m in self.view().get("members", [])}

    def names_in_state(self, state: str) -> set[str]:
        """Return the names of the members that it considers to be in this state."""
        return {name for name, seen in self.states().items() if seen == state}


@dataclass
class Fleet:
    """A group of processes and the relay between them."""

    folder: Path
    config: dict[str, Any]
    relay: RelayThread
    membership_table: dict[str, Any] = field(default_factory=dict)
    other_tables: dict[str, dict[str, Any]] = field(
        default_factory=dict
    )  # further tables of the operator's file
    stores_snapshots: bool = False  # [start] caches the list in each member's own folder
    members: dict[str, Member] = field(default_factory=dict)
    _addresses: dict[str, str] = field(default_factory=dict)

    def add(self, size: int, zones: int = 1) -> list[Member]:
        """Add members without starting them. The first two members are the seeds of every member."""
        added = []
        for number in range(len(self.members), len(self.members) + size):
            name, host = f"m{number}", f"127.77.{number >> 8}.{(number & 255) + 1}"
            folder = self.folder / name
            folder.mkdir()
            port, admin_port = free_port(host), free_port(ADMIN_HOST)
            member = Member(name, folder, host, port, admin_port, f"z{number % zones}")
            self._addresses[name] = self.relay.add(name, host, port)
            self.members[name] = member
            added.append(member)
        for member in added:
            self.write_config_files(member)
        return added

    def write_config_files(self, member: Member, **changed: Any) -> None:
        """Write a member's config files; `changed` overrides keys of its table [membership]."""
        seeds = list(self._addresses.values())[:2]
        membership_table = {
            "listen": f"{member.host}:{member.port}", "advertise": self._addresses[member.name],
            "seeds": seeds, **self.membership_table, **changed,
        }  # fmt: skip
        lines = [f"{key} = {json.dumps(value)}" for key, value in membership_table.items()]
        text = ["[membership]", *lines]
        for name, other in self.other_tables.items():
            own = {"path": str(member.folder / "list")} if name == "start" and self.stores_snapshots else {}
            text += [f"[{name}]", *(f"{key} = {json.dumps(value)}" for key, value in (own | other).items())]
        (member.folder / "operator.toml").write_text("\n".join([*text, ""]))
        settings = self.config["settings"] | {"myZone": member.zone, "zones": ["z0", "z1", "z2"]}
        document = self.config | {
            "name": member.name, "listen": "127.0.0.1:0", "admin": f"{ADMIN_HOST}:{member.admin_port}",
            "settings": settings,
        }  # fmt: skip
        (member.folder / "config.json").write_text(json.dumps(document))

    def __iter__(self) -> Iterator[Member]:
        return iter(self.members.values())

    def running(self) -> list[Member]:
        """Return the members whose process is running."""
        return [m for m in self if m.process is not None and m.process.poll() is None]

    def has_converged(self) -> bool:
        """Return whether every running member considers all running members, and no other, alive."""
        names = {m.name for m in self.running()}
        return all(m.names_in_state("alive") | {m.name} == names for m in self.running())

    def close(self) -> None:
        """Kill every process that was started here, and close the relay."""
        for member in self.running():
            member.signal(signal.SIGKILL)
        for member in self:
            if member.process is not None:
                member.process.wait(TIMEOUT_S)
        self.relay.close()


@contextmanager
def fleet(folder: Path, config: dict[str, Any], seed: int = 1, **membership_table: Any) -> Iterator[Fleet]:
    """Provide a group whose processes are killed at the end of the block, also after an error."""
    group = Fleet(folder, config, RelayThread(seed), membership_table)
    try:
        yield group
    except AssertionError:
        print(*(member.report() for member in group), sep="\n")
        raise
    finally:
        group.close()
