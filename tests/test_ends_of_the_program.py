"""SIGTERM in every state of the running program, also repeated or combined with SIGHUP: accepted requests are
answered, and the exit code is 0.
"""

from __future__ import annotations

import json
import signal
import socket
import threading
from pathlib import Path

import pytest
from exchange_player import TIMEOUT_S, Peer, SchedulerProcess
from scheduler_harness import SETTINGS, request_bytes
from test_replacement import free_port

from oxbowyard import __main__ as main_module

ENTRY = {"uid": "w1", "az": "a", "model": "m", "state": "ready", "boot_ms": 0}


def _make_config(discovery: Peer, **overrides: object) -> dict[str, object]:
    return {
        "name": "n1", "listen": "127.0.0.1:0", "discovery": discovery.address, "seed": "1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": SETTINGS, **overrides,
    }  # fmt: skip


def _answer_lists(discovery: Peer, worker: Peer, may_answer: threading.Event) -> None:
    """Answer polls with a full list once `may_answer` is set, and leave watches without an answer."""
    assert discovery.listener
    discovery.listener.settimeout(TIMEOUT_S)
    body = json.dumps({"rev": 1, "all": True, "targets": [{**ENTRY, "endpoint": worker.address}]}).encode()
    try:
        while True:
            connection, _ = discovery.listener.accept()
            head = connection.recv(1 << 16)
            if b"after=" in head or not may_answer.is_set():
                may_answer.wait(TIMEOUT_S)
                continue
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    except OSError:
        return


@pytest.mark.parametrize("state", ["starting", "serving", "reloading", "handing over", "leaving"])
@pytest.mark.parametrize("signals", ["term", "term term", "hup term", "term hup"])
def test_sigterm_answers_accepted_requests_and_exits_with_0(tmp_path: Path, state: str, signals: str) -> None:
    discovery, silent, worker = Peer(True), Peer(True), Peer(True)
    may_answer = threading.Event()
    if state != "starting":
        may_answer.set()
    threading.Thread(target=_answer_lists, args=(discovery, worker, may_answer), daemon=True).start()
    config = _make_config(discovery)
    if state == "handing over":  # both processes bind the same port
        config["listen"] = f"127.0.0.1:{free_port()}"
    program = SchedulerProcess(config, tmp_path, [])
    successor: SchedulerProcess | None = None
    client: socket.socket | None = None
    try:
        address = program.address("http")
        client = socket.create_connection(address, TIMEOUT_S)
        client.settimeout(TIMEOUT_S)
        program.wait_for("http listens")
        if state == "starting":  # without a list the request is held, and rejected before its deadline
            client.sendall(request_bytes("preview", deadline_s=1.5))
        else:
            program.wait_for("-> serving")
            client.sendall(request_bytes("accession", deadline_s=8.0))
            worker.accept()
            assert "hello" in worker.receive_http()  # the job is running
        if state == "reloading":
            (tmp_path / "config.json").write_text(json.dumps(_make_config(silent)))
            program.process.send_signal(signal.SIGHUP)
            program.wait_for("-> reloading")
        if state == "handing over":
            successor = SchedulerProcess(config, tmp_path, [])
            program.wait_for("-> handing over")
        if state == "leaving":
            program.process.send_signal(signal.SIGTERM)
            program.wait_for("-> leaving")
        for name in signals.split():
            program.process.send_signal(signal.SIGTERM if name == "term" else signal.SIGHUP)
        program.wait_for("-> finishing")
        if state != "starting":
            assert worker.connection
            line = b'{"id":"a1","state":"done","result":"yes"}'
            worker.connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(line) + line)
        response = b""
        while chunk := client.recv(1 << 16):
            response += chunk
        expected_status = b" 503 " if state == "starting" else b" 200 "
        assert expected_status in response and b"Connection: close" in response
        assert program.process.wait(TIMEOUT_S) == 0, "\n".join(program.lines)
        assert not [line for line in program.lines if "background task ended" in line or "Traceback" in line]
    finally:
        if client is not None:
            client.close()
        for peer in (discovery, silent, worker):
            peer.end()
            assert peer.listener
            peer.listener.close()
        may_answer.set()
        program.end()
        if successor is not None:
            successor.end()


def test_process_that_ends_by_an_unexpected_error_leaves_a_last_line(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    # Guards against a process that ends by itself without a line that says why (issue 56).
    async def fail(*arguments: object) -> int:
        raise MemoryError

    monkeypatch.setattr(main_module, "_run", fail)
    monkeypatch.setattr("faulthandler.enable", lambda: None)
    assert main_module.main([]) == main_module.EXIT_FAILED
    assert "process ends, unexpected error: error=MemoryError()" in caplog.text
