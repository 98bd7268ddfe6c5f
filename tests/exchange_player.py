"""Run the scripted exchanges in tests/exchanges/ against a started scheduler process.

A script holds one command a line; `#` starts a comment. The first word of a peer's command names the peer:
d and d2 are discovery services and s1, s2 scan workers (listeners of the player); g.. connect to the Gearman
front, o.. to the admin API, and any other name, usually c.., to the HTTP front.

    start [gearman[:NAME=VALUE]] [operator[:NAME=VALUE]] [admin] ...
                                      start the program, with the admin API if `admin` is named;
                                      DOTTED.NAME=JSON changes a setting, known=JSON sets the endpoint list
                                      known from an earlier run, limits=JSON the limits
    list / tell [d2] JSON             answer the pending discovery call ($s1 stands for the address of s1)
    reload NAME=JSON ... | TEXT       replace fields of the configuration or all of it, and send SIGHUP;
                                      dotted names reach nested fields, a list's length appends, `-` deletes
    PEER connect|accept|close|reset   open, accept, close or reset a connection
    PEER half / idle / eof            half-close; expect that nothing has arrived; expect the stream's end
    PEER > TEXT / PEER < TEXT         send, or receive and compare; without TEXT, a block up to a line `.`
    PEER crowd N [TEXT]               open N connections that stay open, and send TEXT, if any, on each
    PEER disperse                     close the connections of `crowd`
    within S                          expect that less than S seconds have passed since the first connect
    nofile N                          set the program's limit of open descriptors to N
    PEER ask METHOD PATH [HEADER: X] ... | BODY    send a complete HTTP request
    PEER told CODE [HEADER: X] ... | BODY          expect a response with these headers and this body
    PEER status CODE                  expect this status, with Connection: close if it is an error
    PEER chunk TEXT                   send a chunk of a body (without TEXT, the last chunk)
    PEER many N REQ 7 a|#             send N Gearman packets at once; # stands for the number of each
    PEER > REQ 7 a|b|c                send a Gearman packet; {x} captures a text, and later stands for it
    log TEXT / stop / exit CODE       wait for a log line, send SIGTERM, wait for the exit with this code
"""

from __future__ import annotations

import json
import os
import re
import resource
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from pathlib import Path
from typing import Any

TESTS_FOLDER = Path(__file__).parent
ROOT = TESTS_FOLDER.parent
TIMEOUT_S = 10.0
SETTINGS: dict[str, Any] = json.loads((TESTS_FOLDER / "settings.json").read_text())


class SchedulerProcess:
    """The started scheduler process and its log."""

    def __init__(self, config: dict[str, Any], folder: Path, options: list[str]) -> None:
        path = folder / "config.json"
        path.write_text(json.dumps(config))
        # A TMPDIR of its own, as on the platform, so that no test finds the files of an earlier one.
        env = {**os.environ, "LB_CONFIG": str(path), "PYTHONUNBUFFERED": "1", "TMPDIR": str(folder)}
        command = [sys.executable, "-m", "oxbowyard", *options]
        self.process = subprocess.Popen(command, cwd=ROOT, env=env, stderr=subprocess.PIPE, text=True)
        self.lines: list[str] = []
        self._lines_changed = threading.Condition()
        self._reader_thread = threading.Thread(target=self._read, daemon=True)
        self._reader_thread.start()

    def _read(self) -> None:
        assert self.process.stderr
        for line in self.process.stderr:
            with self._lines_changed:
                self.lines.append(line.rstrip())
                self._lines_changed.notify_all()

    def wait_for(self, pattern: str) -> re.Match[str]:
        """Wait for a log line that matches the pattern, and return the first match."""

        def find() -> re.Match[str] | None:
            return next((m for line in self.lines if (m := re.search(pattern, line))), None)

        with self._lines_changed:
            assert self._lines_changed.wait_for(find, TIMEOUT_S), (
                f"no log line matches {pattern!r} in:\n" + "\n".join(self.lines)
            )
            found = find()
        assert found
        return found

    def address(self, front: str) -> tuple[str, int]:
        """Return the address on which a front listens, as logged."""
        found = self.wait_for(rf"{front} listens on ([\d.]+):(\d+)")
        return found[1], int(found[2])

    def end(self) -> None:
        """Kill the process if it still runs, and release its pipe and the reader thread."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(TIMEOUT_S)
        self._reader_thread.join(TIMEOUT_S)
        if self.process.stderr:
            self.process.stderr.close()


class Peer:
    """A peer played by the test: a connection, and a listener if the program connects to it."""

    def __init__(self, listens: bool) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0)) if listens else None
        self.connection: socket.socket | None = None
        self.crowd: list[socket.socket] = []
        self.buffer = b""

    @property
    def address(self) -> str:
        assert self.listener
        host, port = self.listener.getsockname()
        return f"{host}:{port}"

    def attach(self, connection: socket.socket) -> None:
        self.end()
        connection.settimeout(TIMEOUT_S)
        self.connection, self.buffer = connection, b""

    def accept(self) -> None:
        assert self.listener
        self.listener.settimeout(TIMEOUT_S)
        self.attach(self.listener.accept()[0])

    def receive_more(self) -> bool:
        assert self.connection
        try:
            data = self.connection.recv(1 << 16)
        except ConnectionResetError:
            data = b""
        self.buffer += data
        return bool(data)

    def receive(self, size: int) -> bytes:
        while len(self.buffer) < size and self.receive_more():
            pass
        data, self.buffer = self.buffer[:size], self.buffer[size:]
        return data

    def receive_http(self) -> str:
        """Receive one HTTP message, its body by Content-Length, and return it as text."""
        while b"\r\n\r\n" not in self.buffer and self.receive_more():
            pass
        head, _, _ = self.buffer.partition(b"\r\n\r\n")
        self.receive(len(head) + 4)
        size = re.search(rb"(?i)content-length: (\d+)", head)
        body = self.receive(int(size[1])) if size else b""
        return (head.replace(b"\r\n", b"\n") + b"\n\n" + body).decode("latin-1")

    def receive_packet(self) -> str:
        """Receive one Gearman packet and return it as text."""
        magic, type_, size = struct.unpack(">4sII", self.receive(12))
        return f"{magic[1:].decode()} {type_} " + self.receive(size).replace(b"\0", b"|").decode("latin-1")

    def is_idle(self) -> bool:
        """Return whether no connection and no data is pending."""
        waiting = [x for x in (self.listener, self.connection) if x]
        for side in waiting:
            side.setblocking(False)
            try:
                (side.accept if side is self.listener else lambda s=side: s.recv(1, socket.MSG_PEEK))()
                return False
            except BlockingIOError:
                pass
            finally:
                side.settimeout(TIMEOUT_S)
        return not self.buffer

    def is_closed_by_peer(self) -> bool:
        """Return whether the other side has closed the connection."""
        assert self.connection
        self.connection.setblocking(False)
        try:
            return self.connection.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except ConnectionError:
            return True
        finally:
            self.connection.settimeout(TIMEOUT_S)

    def close_crowd(self) -> None:
        while self.crowd:
            self.crowd.pop().close()

    def end(self, reset: bool = False) -> None:
        if self.connection:
            if reset:
                self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.connection.close()
        self.connection = None


def _encode_packet(magic: str, type_: str, text: str) -> bytes:
    """Encode a Gearman packet; `|` in the text stands for the zero byte between arguments."""
    packed = text.replace("{kib2}", "x" * 2048).encode("latin-1").replace(b"|", b"\0")
    return struct.pack(">4sII", b"\0" + magic.encode(), int(type_), len(packed)) + packed


def _split_message(text: str) -> tuple[str, list[str], str]:
    """Split `START [HEADER] ... | BODY` into the start, the headers and the body."""
    first, _, body = text.partition(" | ")
    return first.partition(" [")[0], re.findall(r"\[([^\]]*)\]", first), body


class ExchangePlayer:
    """Runs the script of one file."""

    def __init__(self, path: Path, folder: Path, settings: str = "settings.json") -> None:
        self.settings: dict[str, Any] = json.loads((TESTS_FOLDER / settings).read_text())
        self.lines = iter(enumerate(path.read_text().splitlines(), 1))
        self.folder = folder
        self.peers = {name: Peer(listens=True) for name in ("d", "d2", "s1", "s2")}
        self.captured: dict[str, str] = {}
        self.program: SchedulerProcess | None = None
        self.config: dict[str, Any] = {}
        self.first_connect_s = 0.0

    def play(self) -> None:
        try:
            for number, line in self.lines:
                if line.strip() and not line.startswith("#"):
                    try:
                        self._run_line(line)
                    except Exception as error:
                        log = "\n".join(self.program.lines) if self.program else ""
                        raise AssertionError(f"line {number}: {line}\n{error!r}\n{log}") from error
        finally:
            self.end()

    def end(self) -> None:
        """Close the peers and end the program."""
        for peer in self.peers.values():
            peer.end()
            peer.close_crowd()
            if peer.listener:
                peer.listener.close()
        if self.program:
            self.program.end()

    def _run_line(self, line: str) -> None:
        command, _, rest = line.partition(" ")
        if command == "start":
            self._start_program(rest.split())
        elif command in ("list", "tell"):
            self._answer_discovery(rest)
        elif command == "reload":
            self._reload(rest)
        elif command == "within":
            elapsed_s = time.monotonic() - self.first_connect_s
            assert elapsed_s < float(rest), (
                f"{elapsed_s:.1f} s since the first connect, expected less than {rest} s"
            )
        elif command in ("log", "stop", "exit", "nofile"):
            self._run_process_command(command, rest)
        else:
            peer_command, _, text = rest.partition(" ")
            self._run_peer_command(command, peer_command, text)

    def _start_program(self, arguments: list[str]) -> None:
        settings = json.loads(json.dumps(self.settings))
        options: list[str] = []
        known: dict[str, Any] = {}
        for argument in arguments:
            if argument == "admin":
                known["admin"] = "127.0.0.1:0"
                continue
            front = argument.partition(":")[0]
            if front in ("gearman", "operator"):
                options = [f"--{front}", str(self._write_operator_file(front, argument))]
                continue
            name, _, value = argument.partition("=")
            *path, last = name.split(".")
            target: Any = known if name in ("known", "limits") else settings
            value = self._substitute_addresses(value)
            for part in path:
                target = target[int(part) if part.isdecimal() else part]
            target[last] = json.loads(value)
        config = {
            "name": "n1", "listen": "127.0.0.1:0", "discovery": self.peers["d"].address, "seed": "1f",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings, **known,
        }  # fmt: skip
        self.config = config
        self.program = SchedulerProcess(config, self.folder, options)

    def _write_operator_file(self, front: str, argument: str) -> Path:
        text = (ROOT / f"deploy/{front}.toml").read_text().replace(":4730", ":0")
        for change in argument.split(":")[1:]:
            if change == "durable":
                text += f'\n[durable]\npath = "{self.folder / "jobs.db"}"\nresolve_over_http = true\n'
                continue
            name, _, value = change.partition("=")
            text, found = re.subn(rf"(?m)^{name} = \S+", f"{name} = {value}", text)
            assert found, f"no {name} in deploy/{front}.toml"
        path = self.folder / f"{front}.toml"
        path.write_text(text)
        return path

    def _reload(self, rest: str) -> None:
        assert self.program
        text = rest
        if re.match(r"[\w.]+=", rest):
            config = json.loads(json.dumps(self.config))
            for name, _, value in (
                change.partition("=") for change in self._substitute_addresses(rest).split()
            ):
                *path, last = name.split(".")
                target: Any = config
                for part in path:
                    target = target[int(part) if part.isdecimal() else part]
                key: Any = int(last) if last.isdecimal() else last
                if value == "-":
                    del target[key]
                elif isinstance(key, int) and key == len(target):
                    target.append(json.loads(value))
                else:
                    target[key] = json.loads(value)
            text = json.dumps(config)
        (self.folder / "config.json").write_text(text)
        self.program.process.send_signal(signal.SIGHUP)

    def _answer_discovery(self, rest: str) -> None:
        name, _, other = rest.partition(" ")
        if name in self.peers:
            rest = other
        peer = self.peers[name if name in self.peers else "d"]
        if peer.connection is None:
            peer.accept()
        call = peer.receive_http()
        while peer.is_closed_by_peer():  # the program has replaced this call with a newer one
            peer.accept()
            call = peer.receive_http()
        assert call.startswith("GET /discovery/hosts")
        body = self._substitute_addresses(rest).encode()
        assert peer.connection
        peer.connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

    def _substitute_addresses(self, text: str) -> str:
        return re.sub(r"\$(\w+)", lambda m: self.peers[m[1]].address, text)

    def _run_process_command(self, command: str, rest: str) -> None:
        assert self.program
        if command == "log":
            self.program.wait_for(rest)
        elif command == "stop":
            self.program.process.send_signal(signal.SIGTERM)
        elif command == "nofile":
            resource.prlimit(self.program.process.pid, resource.RLIMIT_NOFILE, (int(rest), int(rest)))
        else:
            assert self.program.process.wait(TIMEOUT_S) == int(rest)

    def _run_peer_command(self, name: str, command: str, text: str) -> None:
        peer = self.peers.setdefault(name, Peer(listens=False))
        if command == "connect":
            assert self.program
            front = {"g": "gearman", "o": "control"}.get(name[0], "http")
            self.first_connect_s = self.first_connect_s or time.monotonic()
            peer.attach(socket.create_connection(self.program.address(front), TIMEOUT_S))
        elif command == "accept":
            peer.accept()
        elif command in ("close", "reset"):
            peer.end(reset=command == "reset")
        elif command == "half":
            assert peer.connection
            peer.connection.shutdown(socket.SHUT_WR)
        elif command == "crowd":
            assert self.program
            address = self.program.address({"g": "gearman", "o": "control"}.get(name[0], "http"))
            number, _, text = text.partition(" ")
            for _ in range(int(number)):
                peer.crowd.append(socket.create_connection(address, TIMEOUT_S))
                peer.crowd[-1].sendall(text.encode().decode("unicode_escape").encode("latin-1"))
        elif command == "many":
            number, magic, type_, rest = text.split(" ", 3)
            assert peer.connection
            packets = (_encode_packet(magic, type_, rest.replace("#", str(i))) for i in range(int(number)))
            peer.connection.sendall(b"".join(packets))
        elif command == "disperse":
            peer.close_crowd()
        elif command == "ask":
            assert peer.connection
            line, headers, body = _split_message(self._substitute_captured(text))
            head = "".join(f"{h}\r\n" for h in [f"{line} HTTP/1.1", "Host: api", *headers])
            peer.connection.sendall(f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode())
        elif command == "told":
            status, headers, body = _split_message(text)
            head, _, got = peer.receive_http().partition("\n\n")
            assert head.startswith(f"HTTP/1.1 {status} "), head + got
            for header in headers:
                assert header in head.splitlines(), f"no {header!r} in {head!r}"
            self._assert_matches(body, got.rstrip("\n"))
        elif command == "status":
            got = peer.receive_http()
            assert re.match(rf"HTTP/1\.[01] {text} ", got), got
            closes_connection = got.startswith("HTTP/1.0") or "\nConnection: close\n" in got
            assert closes_connection or int(text) < 400, got
        elif command == "idle":
            assert peer.is_idle(), "data or a connection is pending, expected none"
        elif command == "chunk":
            data = self._substitute_captured(text).encode().decode("unicode_escape").encode("latin-1")
            assert peer.connection
            peer.connection.sendall(b"%x\r\n%s\r\n" % (len(data), data))
        elif command == "eof":
            assert not peer.receive_more() and not peer.buffer, (
                f"expected the end of the stream; unread: {peer.buffer!r}"
            )
        elif command == ">":
            self._send(peer, text)
        else:
            assert command == "<", f"unknown command: {command}"
            self._receive(peer, text)

    def _read_block(self) -> str:
        lines = []
        for _, line in self.lines:
            if line == ".":
                break
            lines.append(line)
        return "\n".join(lines)

    def _substitute_captured(self, text: str) -> str:
        return re.sub(r"\{(\w+)\}", lambda m: self.captured.get(m[1], m[0]), text)

    def _send(self, peer: Peer, text: str) -> None:
        assert peer.connection
        packet_line = re.fullmatch(r"(REQ|RES) (\d+) ?(.*)", text)
        if packet_line:
            peer.connection.sendall(
                _encode_packet(packet_line[1], packet_line[2], self._substitute_captured(packet_line[3]))
            )
        elif text:
            text = text.replace("{kib64}", "x" * 65536).replace("{mib16}", "x" * (16 << 20))
            text = text.replace("{kib2}", "x" * 2048)
            peer.connection.sendall(text.encode().decode("unicode_escape").encode("latin-1"))
        else:
            start, _, body = self._substitute_captured(self._read_block()).partition("\n\n")
            peer.connection.sendall((start.replace("\n", "\r\n") + "\r\n\r\n" + body).encode())

    def _receive(self, peer: Peer, text: str) -> None:
        if re.match(r"RE[QS] \d", text):
            got = peer.receive_packet()
        elif text:
            text = text.encode().decode("unicode_escape")
            got = peer.receive(len(text)).decode("latin-1")
        else:
            text, got = self._read_block(), peer.receive_http()
            if "\n\n" not in text:
                text += "\n\n"
        self._assert_matches(text, got)

    def _assert_matches(self, expected: str, got: str) -> None:
        """Assert that `got` matches: `*` matches anything in a line; {name} captures a text or repeats it."""
        pattern = ""
        for part in re.split(r"(\*|\{\w+\})", expected):
            name = part[1:-1]
            if part == "*":
                pattern += ".*"
            elif re.fullmatch(r"\{\w+\}", part):
                if name in self.captured:
                    pattern += re.escape(self.captured[name])
                else:
                    pattern += f"(?P<{name}>[^|\n]+)"
            else:
                pattern += re.escape(part)
        match = re.fullmatch(pattern, got)
        assert match, f"expected:\n{expected}\ngot:\n{got}"
        self.captured |= match.groupdict()
