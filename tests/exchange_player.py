"""Plays a recorded exchange against the started program: the one player of all files in exchanges/.

A file is a list of lines; `#` starts a comment. Peers are named by the first word: d and d2 are discovery,
s1.. are scan workers (listeners of the player), g.. connect to the Gearman front, and c.. to the HTTP front.

    start [gearman[:NAME=VALUE]] [operator[:NAME=VALUE]] [admin] ...
                                      start the program, with the operators' door for o.. if admin is named;
                                      settings may be changed by dotted names,
                                      known=JSON is the list kept from before, limits=JSON the limits
    list / tell [d2] JSON             discovery answers the call that waits for it ($s1 is s1's address)
    reload NAME=JSON ... | TEXT       replace fields of the configuration (dotted names reach inside, a list's
                                      length adds, - takes away), or all of it, and send SIGHUP
    PEER connect|accept|close|reset   open, take or end a connection (idle: nothing came; eof: it ended)
    PEER > TEXT / PEER < TEXT         send, or receive and compare; with no text a block up to a line `.`
    PEER crowd N [TEXT]               open N connections that say TEXT, if any, and stay
    PEER disperse                     close them
    within S                          no more than S seconds have passed since a client connected first
    nofile N                          leave the program so many descriptors
    PEER ask METHOD PATH [HEADER: X] ... | BODY    send a whole request
    PEER told CODE [HEADER: X] ... | BODY          receive an answer with these headers and this body
    PEER status CODE                  receive an answer of that status, and a close with it if it is an error
    PEER chunk TEXT                   send a chunk of a body (no text: the last one)
    PEER many N REQ 7 a|#             N Gearman packets at once, # stands for the number of each
    PEER > REQ 7 a|b|c                a Gearman packet; {x} keeps what stands there, later it must be the same
    log TEXT / stop / exit CODE       wait for a line of the log, send SIGTERM, wait for the exit
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
    """The program under test and its log."""

    def __init__(self, config: dict[str, Any], folder: Path, options: list[str]) -> None:
        path = folder / "config.json"
        path.write_text(json.dumps(config))
        # Its own TMPDIR, as on the platform: what one test leaves there is not found by the next.
        env = {**os.environ, "LB_CONFIG": str(path), "PYTHONUNBUFFERED": "1", "TMPDIR": str(folder)}
        command = [sys.executable, "-m", "oxbowyard", *options]
        self.process = subprocess.Popen(command, cwd=ROOT, env=env, stderr=subprocess.PIPE, text=True)
        self.lines: list[str] = []
        self._news = threading.Condition()
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()

    def _read(self) -> None:
        assert self.process.stderr
        for line in self.process.stderr:
            with self._news:
                self.lines.append(line.rstrip())
                self._news.notify_all()

    def wait_for(self, pattern: str) -> re.Match[str]:
        """The first line of the log that holds the pattern."""

        def find() -> re.Match[str] | None:
            return next((m for line in self.lines if (m := re.search(pattern, line))), None)

        with self._news:
            assert self._news.wait_for(find, TIMEOUT_S), f"no {pattern!r} in:\n" + "\n".join(self.lines)
            found = find()
        assert found
        return found

    def address(self, front: str) -> tuple[str, int]:
        """Where a front listens."""
        found = self.wait_for(rf"{front} listens on ([\d.]+):(\d+)")
        return found[1], int(found[2])

    def end(self) -> None:
        """Leave nothing running."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(TIMEOUT_S)
        self._reader.join(TIMEOUT_S)
        if self.process.stderr:
            self.process.stderr.close()


class Peer:
    """One of the player's sides: a connection, and a listener where others connect to it."""

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

    def use(self, connection: socket.socket) -> None:
        self.end()
        connection.settimeout(TIMEOUT_S)
        self.connection, self.buffer = connection, b""

    def accept(self) -> None:
        assert self.listener
        self.listener.settimeout(TIMEOUT_S)
        self.use(self.listener.accept()[0])

    def more(self) -> bool:
        assert self.connection
        try:
            piece = self.connection.recv(1 << 16)
        except ConnectionResetError:
            piece = b""
        self.buffer += piece
        return bool(piece)

    def take(self, size: int) -> bytes:
        while len(self.buffer) < size and self.more():
            pass
        piece, self.buffer = self.buffer[:size], self.buffer[size:]
        return piece

    def receive_http(self) -> str:
        """One HTTP message as text, its body by Content-Length."""
        while b"\r\n\r\n" not in self.buffer and self.more():
            pass
        head, _, _ = self.buffer.partition(b"\r\n\r\n")
        self.take(len(head) + 4)
        size = re.search(rb"(?i)content-length: (\d+)", head)
        body = self.take(int(size[1])) if size else b""
        return (head.replace(b"\r\n", b"\n") + b"\n\n" + body).decode("latin-1")

    def packet(self) -> str:
        """One Gearman packet as text."""
        magic, type_, size = struct.unpack(">4sII", self.take(12))
        return f"{magic[1:].decode()} {type_} " + self.take(size).replace(b"\0", b"|").decode("latin-1")

    def idle(self) -> bool:
        """Nothing has come that was not read."""
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

    def ended(self) -> bool:
        """The other side has closed the connection."""
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

    def disperse(self) -> None:
        while self.crowd:
            self.crowd.pop().close()

    def end(self, reset: bool = False) -> None:
        if self.connection:
            if reset:
                self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.connection.close()
        self.connection = None


def _packet(magic: str, type_: str, text: str) -> bytes:
    """A Gearman packet; `|` stands for the zero byte between arguments."""
    packed = text.replace("{kib2}", "x" * 2048).encode("latin-1").replace(b"|", b"\0")
    return struct.pack(">4sII", b"\0" + magic.encode(), int(type_), len(packed)) + packed


def _parts(text: str) -> tuple[str, list[str], str]:
    """What stands before the headers, the headers in brackets, and the body after the bar."""
    first, _, body = text.partition(" | ")
    return first.partition(" [")[0], re.findall(r"\[([^\]]*)\]", first), body


class ExchangePlayer:
    """Plays one file."""

    def __init__(self, path: Path, folder: Path, settings: str = "settings.json") -> None:
        self.settings: dict[str, Any] = json.loads((TESTS_FOLDER / settings).read_text())
        self.lines = iter(enumerate(path.read_text().splitlines(), 1))
        self.folder = folder
        self.peers = {name: Peer(listens=True) for name in ("d", "d2", "s1", "s2")}
        self.kept: dict[str, str] = {}
        self.program: SchedulerProcess | None = None
        self.config: dict[str, Any] = {}
        self.started = 0.0

    def play(self) -> None:
        try:
            for number, line in self.lines:
                if line.strip() and not line.startswith("#"):
                    try:
                        self._run_line(line)
                    except Exception as fault:
                        log = "\n".join(self.program.lines) if self.program else ""
                        raise AssertionError(f"line {number}: {line}\n{fault!r}\n{log}") from fault
        finally:
            self.end()

    def end(self) -> None:
        """Leave nothing open."""
        for peer in self.peers.values():
            peer.end()
            peer.disperse()
            if peer.listener:
                peer.listener.close()
        if self.program:
            self.program.end()

    def _run_line(self, line: str) -> None:
        word, _, rest = line.partition(" ")
        if word == "start":
            self._start(rest.split())
        elif word in ("list", "tell"):
            self._tell(rest)
        elif word == "reload":
            self._reload(rest)
        elif word == "within":
            taken = time.monotonic() - self.started
            assert taken < float(rest), f"it took {taken:.1f} s"
        elif word in ("log", "stop", "exit", "nofile"):
            self._process(word, rest)
        else:
            what, _, text = rest.partition(" ")
            self._peer(word, what, text)

    def _start(self, words: list[str]) -> None:
        settings = json.loads(json.dumps(self.settings))
        options: list[str] = []
        known: dict[str, Any] = {}
        for word in words:
            if word == "admin":
                known["admin"] = "127.0.0.1:0"
                continue
            front = word.partition(":")[0]
            if front in ("gearman", "operator"):
                options = [f"--{front}", str(self._operators_file(front, word))]
                continue
            name, _, value = word.partition("=")
            *path, last = name.split(".")
            place: Any = known if name in ("known", "limits") else settings
            value = self._with_addresses(value)
            for part in path:
                place = place[int(part) if part.isdecimal() else part]
            place[last] = json.loads(value)
        config = {
            "name": "n1", "listen": "127.0.0.1:0", "discovery": self.peers["d"].address, "seed": "1f",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings, **known,
        }  # fmt: skip
        self.config = config
        self.program = SchedulerProcess(config, self.folder, options)

    def _operators_file(self, front: str, word: str) -> Path:
        text = (ROOT / f"deploy/{front}.toml").read_text().replace(":4730", ":0")
        for change in word.split(":")[1:]:
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
            for name, _, value in (word.partition("=") for word in self._with_addresses(rest).split()):
                *path, last = name.split(".")
                place: Any = config
                for part in path:
                    place = place[int(part) if part.isdecimal() else part]
                key: Any = int(last) if last.isdecimal() else last
                if value == "-":
                    del place[key]
                elif isinstance(key, int) and key == len(place):
                    place.append(json.loads(value))
                else:
                    place[key] = json.loads(value)
            text = json.dumps(config)
        (self.folder / "config.json").write_text(text)
        self.program.process.send_signal(signal.SIGHUP)

    def _tell(self, rest: str) -> None:
        name, _, other = rest.partition(" ")
        if name in self.peers:
            rest = other
        peer = self.peers[name if name in self.peers else "d"]
        if peer.connection is None:
            peer.accept()
        call = peer.receive_http()
        while peer.ended():  # it was given up meanwhile, for another
            peer.accept()
            call = peer.receive_http()
        assert call.startswith("GET /discovery/hosts")
        body = self._with_addresses(rest).encode()
        assert peer.connection
        peer.connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

    def _with_addresses(self, text: str) -> str:
        return re.sub(r"\$(\w+)", lambda m: self.peers[m[1]].address, text)

    def _process(self, word: str, rest: str) -> None:
        assert self.program
        if word == "log":
            self.program.wait_for(rest)
        elif word == "stop":
            self.program.process.send_signal(signal.SIGTERM)
        elif word == "nofile":
            resource.prlimit(self.program.process.pid, resource.RLIMIT_NOFILE, (int(rest), int(rest)))
        else:
            assert self.program.process.wait(TIMEOUT_S) == int(rest)

    def _peer(self, name: str, what: str, text: str) -> None:
        peer = self.peers.setdefault(name, Peer(listens=False))
        if what == "connect":
            assert self.program
            front = {"g": "gearman", "o": "control"}.get(name[0], "http")
            self.started = self.started or time.monotonic()
            peer.use(socket.create_connection(self.program.address(front), TIMEOUT_S))
        elif what == "accept":
            peer.accept()
        elif what in ("close", "reset"):
            peer.end(reset=what == "reset")
        elif what == "half":
            assert peer.connection
            peer.connection.shutdown(socket.SHUT_WR)
        elif what == "crowd":
            assert self.program
            where = self.program.address({"g": "gearman", "o": "control"}.get(name[0], "http"))
            number, _, text = text.partition(" ")
            for _ in range(int(number)):
                peer.crowd.append(socket.create_connection(where, TIMEOUT_S))
                peer.crowd[-1].sendall(text.encode().decode("unicode_escape").encode("latin-1"))
        elif what == "many":
            number, magic, type_, rest = text.split(" ", 3)
            assert peer.connection
            packets = (_packet(magic, type_, rest.replace("#", str(i))) for i in range(int(number)))
            peer.connection.sendall(b"".join(packets))
        elif what == "disperse":
            peer.disperse()
        elif what == "ask":
            assert peer.connection
            line, headers, body = _parts(self._filled(text))
            head = "".join(f"{h}\r\n" for h in [f"{line} HTTP/1.1", "Host: api", *headers])
            peer.connection.sendall(f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode())
        elif what == "told":
            status, headers, body = _parts(text)
            head, _, got = peer.receive_http().partition("\n\n")
            assert head.startswith(f"HTTP/1.1 {status} "), head + got
            for header in headers:
                assert header in head.splitlines(), f"no {header!r} in {head!r}"
            self._compare(body, got.rstrip("\n"))
        elif what == "status":
            got = peer.receive_http()
            assert re.match(rf"HTTP/1\.[01] {text} ", got), got
            closes = got.startswith("HTTP/1.0") or "\nConnection: close\n" in got
            assert closes or int(text) < 400, got
        elif what == "idle":
            assert peer.idle(), "something came"
        elif what == "chunk":
            data = self._filled(text).encode().decode("unicode_escape").encode("latin-1")
            assert peer.connection
            peer.connection.sendall(b"%x\r\n%s\r\n" % (len(data), data))
        elif what == "eof":
            assert not peer.more() and not peer.buffer, f"still open, or unread: {peer.buffer!r}"
        elif what == ">":
            self._send(peer, text)
        else:
            assert what == "<", f"no such word: {what}"
            self._receive(peer, text)

    def _block(self) -> str:
        lines = []
        for _, line in self.lines:
            if line == ".":
                break
            lines.append(line)
        return "\n".join(lines)

    def _filled(self, text: str) -> str:
        return re.sub(r"\{(\w+)\}", lambda m: self.kept.get(m[1], m[0]), text)

    def _send(self, peer: Peer, text: str) -> None:
        assert peer.connection
        form = re.fullmatch(r"(REQ|RES) (\d+) ?(.*)", text)
        if form:
            peer.connection.sendall(_packet(form[1], form[2], self._filled(form[3])))
        elif text:
            text = text.replace("{kib64}", "x" * 65536).replace("{mib16}", "x" * (16 << 20))
            text = text.replace("{kib2}", "x" * 2048)
            peer.connection.sendall(text.encode().decode("unicode_escape").encode("latin-1"))
        else:
            start, _, body = self._filled(self._block()).partition("\n\n")
            peer.connection.sendall((start.replace("\n", "\r\n") + "\r\n\r\n" + body).encode())

    def _receive(self, peer: Peer, text: str) -> None:
        if re.match(r"RE[QS] \d", text):
            got = peer.packet()
        elif text:
            text = text.encode().decode("unicode_escape")
            got = peer.take(len(text)).decode("latin-1")
        else:
            text, got = self._block(), peer.receive_http()
            if "\n\n" not in text:
                text += "\n\n"
        self._compare(text, got)

    def _compare(self, wanted: str, got: str) -> None:
        """`*` stands for anything in its line, {name} for what it stood for before, or keeps it."""
        pattern = ""
        for part in re.split(r"(\*|\{\w+\})", wanted):
            name = part[1:-1]
            if part == "*":
                pattern += ".*"
            elif re.fullmatch(r"\{\w+\}", part):
                if name in self.kept:
                    pattern += re.escape(self.kept[name])
                else:
                    pattern += f"(?P<{name}>[^|\n]+)"
            else:
                pattern += re.escape(part)
        match = re.fullmatch(pattern, got)
        assert match, f"wanted:\n{wanted}\ngot:\n{got}"
        self.kept |= match.groupdict()
