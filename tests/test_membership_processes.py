"""Real scheduler processes behind a relay: pauses, partitions, loss, drains, name conflicts and floods."""

from __future__ import annotations

import http.client
import json
import re
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from datetime import datetime
from pathlib import Path
from typing import Any

import pytest

from benchmarks.faults.loops import LoopThread
from benchmarks.faults.processes import ADMIN_HOST, ROOT, Fleet, Member, fleet, free_port, wait_until
from benchmarks.stand_in_fleet import StandInFleet
from oxbowyard.membership.messages import Ack, Header, MemberRecord, MemberState, Ping, decode, encode
from oxbowyard.membership.tcp_transport import FRAME_LENGTH

GROUP = "oxbowyard"
CONFIG: dict[str, Any] = json.loads((ROOT / "examples/config.json").read_text())
CONFIG_WITHOUT_WORKERS = CONFIG | {"discovery": "127.0.0.1:1"}


@pytest.fixture
def workers() -> Iterator[str]:
    """Start workers that are ready at once, and yield the address of their discovery service."""
    loop = LoopThread()
    fleet_of_workers = StandInFleet(4, 8, {"preview": 0.01, "label-check": 0.01, "accession": 0.01})
    discovery = loop.run(fleet_of_workers.start())
    fleet_of_workers._ports.append(free_port("127.0.0.1"))  # w4: no process listens on its port
    yield discovery
    loop.call(fleet_of_workers.close)
    loop.close()


def start_members(group: Fleet, size: int, zones: int = 1) -> list[Member]:
    members = group.add(size, zones)
    for member in members:
        member.start()
    wait_until(group.has_converged, "all members see each other")
    return members


def all_see_state(members: list[Member], state: str, name: str) -> bool:
    return all(name in m.names_in_state(state) for m in members if m.name != name)


def logs(group: Fleet) -> str:
    return "\n".join(f"--- {m.name}\n{m.log()}" for m in group)


def test_all_members_see_a_death_a_return_and_a_leave(tmp_path: Path) -> None:
    with fleet(tmp_path, CONFIG_WITHOUT_WORKERS) as group:
        first, *rest = start_members(group, 5, zones=2)
        first.kill()
        wait_until(lambda: all_see_state(rest, "dead", "m0"), "all others see m0 dead")
        assert rest[0].view()["count"] == {"reckoned": 5, "live": 4, "in_doubt": 1, "configured": 1}
        first.start()
        wait_until(group.has_converged, "all members see m0 alive again")
        assert rest[0].view()["count"]["in_doubt"] == 0
        assert first.terminate() == 0
        wait_until(lambda: all_see_state(rest, "left", "m0"), "all others see that m0 left")
        assert "member died: name=m0" not in rest[0].log().rpartition("member returned: name=m0")[2]
        wait_until(lambda: all(m.view()["count"]["reckoned"] == 4 for m in rest), "who left does not count")
        shown = command("--door", f"{ADMIN_HOST}:{rest[0].admin_port}")
        assert "counts 4 schedulers, 4 live, 0 dead but still counted" in shown.stdout
        table = shown.stdout.partition("\n\n")[2]  # before it there may be more, as of a datagram dropped
        rows = {line.split()[0]: line.split() for line in table.splitlines()}
        assert rows["m2"][1] == "z0" and {"alive", "joining", "0.1"} <= set(rows["m2"])
        assert rows["m0"][3] == "left" and list(rows) == ["NAME", "m1", "m0", "m2", "m3", "m4"]
        by_file = command("--config", str(rest[0].folder / "config.json"), "--json")
        assert json.loads(by_file.stdout)["me"]["name"] == "m1"
        none = command("--door", f"{ADMIN_HOST}:{first.admin_port}")
        assert none.returncode == 1 and "does not answer" in none.stderr
        assert command("--door", "here").returncode == 1


def test_stopped_member_logs_its_stall_refutes_its_death_and_declares_nobody_dead(tmp_path: Path) -> None:
    with fleet(tmp_path, CONFIG_WITHOUT_WORKERS) as group:
        stopped, *rest = start_members(group, 5)
        stopped.pause()
        wait_until(lambda: all_see_state(rest, "dead", "m0"), "all others see m0 dead")
        stopped.resume()
        wait_until(group.has_converged, "all members see each other again")
        assert "member refuted: name=m0" in stopped.log() and "member stalled: name=m0" in stopped.log()
        assert "died" not in stopped.log(), logs(group)


def test_member_with_a_tenth_of_its_cpu_time_declares_nobody_dead(tmp_path: Path) -> None:
    with fleet(tmp_path, CONFIG_WITHOUT_WORKERS) as group:
        slow, *rest = start_members(group, 5)
        end = time.monotonic() + 6.0
        while time.monotonic() < end:
            slow.pause()
            time.sleep(0.18)
            slow.resume()
            time.sleep(0.02)
        wait_until(group.has_converged, "all members see each other again")
        assert "died" not in slow.log(), logs(group)
        assert all(f"member died: name=m{i}" not in m.log() for m in rest for i in range(1, 5)), logs(group)


def test_datagram_loss_duplication_and_reordering_cause_no_death(tmp_path: Path) -> None:
    with fleet(tmp_path, CONFIG_WITHOUT_WORKERS) as group:
        members = start_members(group, 6)
        group.relay.set_fault(loss=0.3, duplication=0.3, min_delay_s=0.0, max_delay_s=0.08)
        time.sleep(8.0)
        assert group.relay.relay.counts["lost"] > 100, "the relay has dropped over 100 datagrams"
        group.relay.heal()
        wait_until(group.has_converged, "all members see each other again")
        assert not any("died" in m.log() for m in members), logs(group)


def test_one_way_partition_kills_only_a_member_that_nobody_hears(tmp_path: Path) -> None:
    with fleet(tmp_path, CONFIG_WITHOUT_WORKERS) as group:
        members = start_members(group, 5)
        group.relay.set_fault("m0", "m1", is_cut=True)
        group.relay.set_fault("m2", "m3", is_cut=True)
        time.sleep(6.0)
        assert group.has_converged() and not any("died" in m.log() for m in members), logs(group)
        group.relay.heal()
        group.relay.set_fault("m4", "*", is_cut=True)  # nobody receives from m4, which receives from all
        wait_until(lambda: all_see_state(members[:4], "dead", "m4"), "the others see m4 dead")
        group.relay.heal()
        wait_until(group.has_converged, "all members see each other again")


def test_partition_between_zones_keeps_the_cluster_size_and_heals(tmp_path: Path) -> None:
    with fleet(tmp_path, CONFIG_WITHOUT_WORKERS, doubt_s=3.0, forget_s=1.0) as group:
        members = start_members(group, 6, zones=2)
        sides = [[m for m in members if m.zone == zone] for zone in ("z0", "z1")]
        for one in sides[0]:
            for other in sides[1]:
                group.relay.set_fault(one.name, other.name, is_cut=True)
                group.relay.set_fault(other.name, one.name, is_cut=True)

        def is_split() -> bool:
            return all(m.view()["count"]["live"] == 3 for m in members)

        wait_until(is_split, "each side sees only its own three members")
        time.sleep(8.5)  # over forget_s, and over the 7.5 s for which a member that died alone counts
        for member in members:
            count = member.view()["count"]
            assert count["reckoned"] == 6 and count["live"] == 3, "a partition keeps the cluster size at 6"
        group.relay.heal()
        wait_until(group.has_converged, "all members see each other again", 90)
        wait_until(lambda: all(m.view()["count"]["in_doubt"] == 0 for m in members), "no member is in doubt")


def test_drain_at_one_scheduler_applies_at_all_and_a_later_undrain_wins(tmp_path: Path, workers: str) -> None:
    with fleet(tmp_path, CONFIG | {"discovery": workers}) as group:
        members = start_members(group, 5)
        wait_until(lambda: all(m.call("GET", "/control/ready")[0] == 200 for m in members), "all are ready")
        group.relay.set_fault(loss=0.3)

        def cordoned_counts() -> list[int]:
            counters = [json.loads(m.call("GET", "/control/counters")[1]) for m in members]
            return [each["out_of_rotation"] for each in counters]

        assert members[2].call("PUT", "/control/scan-workers/w1/offline")[0] == 200
        wait_until(lambda: cordoned_counts() == [1] * 5, "all schedulers have drained w1")
        matches = [re.search(r"(\S+ \S+) .*endpoint cordoned: uid=w1\b", m.log()) for m in members]
        stamps = [datetime.strptime(m[1], "%Y-%m-%d %H:%M:%S,%f") for m in matches if m]
        assert len(stamps) == 5 and (max(stamps) - min(stamps)).total_seconds() < 1.0
        members[3].kill()
        members[3].start()
        wait_until(lambda: members[3].call("GET", "/control/ready")[0] == 200, "m3 is ready again")
        wait_until(lambda: cordoned_counts() == [1] * 5, "m3 has drained w1 after its restart too")
        members[3].kill()  # its cordon file still lists w1
        assert members[4].call("PUT", "/control/scan-workers/w1/online")[0] == 200
        members[3].start()
        wait_until(lambda: members[3].call("GET", "/control/ready")[0] == 200, "m3 is ready again")
        wait_until(
            lambda: cordoned_counts() == [0] * 5, "all use w1 again, also m3, which missed the undrain"
        )


def test_name_conflict_is_logged_by_both_and_an_address_in_use_is_retried(tmp_path: Path) -> None:
    with fleet(tmp_path, CONFIG_WITHOUT_WORKERS) as group:
        first, *rest = start_members(group, 4)
        (second,) = group.add(1)
        second.name = "m0"
        group.write_config_files(second, advertise=f"{second.host}:{second.port}")
        second.start()
        log_line = "member name_conflict: name=m0"
        wait_until(lambda: log_line in first.log() and log_line in second.log(), "both log the conflict")
        assert all(m.states()["m0"] == "alive" for m in rest)
        address = first.view()["me"]["address"]
        for member in rest:
            known = {m["name"]: m["address"] for m in member.view()["members"]}
            assert known["m0"] == address
        assert first.view()["conflicts"].keys() == {"m0"}
        second.kill()
        rest[0].kill()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
            other.bind((rest[0].host, rest[0].port))
            rest[0].start()
            wait_until(
                lambda: "membership address in use" in rest[0].log(), "it logs that its address is in use"
            )
            wait_until(
                lambda: rest[0].view().get("me", {}).get("bound") is False, "it runs without the socket"
            )
        wait_until(lambda: {"m0", "m2", "m3"} <= rest[0].names_in_state("alive"), "it has joined the group")


def test_flood_of_invalid_datagrams_is_dropped_and_the_group_stays_converged(tmp_path: Path) -> None:
    with fleet(tmp_path, CONFIG_WITHOUT_WORKERS, max_datagrams_s=400) as group:
        first, *_ = start_members(group, 4)
        header = Header(1, GROUP, "x", 1, "127.0.0.1:9")
        invalid = [
            b"", b"\xc1" * 100, b"x" * 1500, encode(Ping(Header(1, "other", "x", 1, "a:1"), 1, "m0"))[:-3],
            encode(Ping(Header(1, "other", "x", 1, "a:1"), 1, "m0")),
            encode(Ping(header, 1, "nobody", [MemberRecord("", 1, "a:1", "", 0, MemberState.ALIVE)])),
        ]  # fmt: skip
        for frame in (b"nonsense", encode(Ping(Header(1, "other", "x", 1, "a:1"), 1, "m0"))):
            with socket.create_connection((first.host, first.port), 5) as stream:
                stream.sendall(FRAME_LENGTH.pack(len(frame)) + frame)
                stream.shutdown(socket.SHUT_WR)
                assert stream.recv(100) == b""
        with socket.create_connection((first.host, first.port), 5) as stream:  # of a later protocol version
            request = encode(Ping(Header(7, GROUP, "newer", 1, "127.0.0.1:9"), 5, "m0"))
            stream.sendall(FRAME_LENGTH.pack(len(request)) + request)
            answer = stream.makefile("rb").read(FRAME_LENGTH.unpack(stream.recv(4))[0])
        assert isinstance(found := decode(answer, GROUP, 64), Ack) and found.sequence_number == 5
        bytes_before = resident_bytes(first)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as flood:
            end = time.monotonic() + 4.0
            while time.monotonic() < end:
                for data in invalid * 20:
                    flood.sendto(data, (first.host, first.port))
                time.sleep(0.002)
        wait_until(group.has_converged, "all members see each other again")
        dropped = first.view()["dropped"]
        assert dropped["datagram unreadable"] > 10 and dropped["datagram foreign"] > 10
        assert dropped["stream unreadable"] == 1 and dropped["stream foreign"] == 1
        assert dropped["datagram absurd claim"] > 10 and dropped["rests for a flood"] > 10
        assert resident_bytes(first) - bytes_before < 8 << 20
        assert not any("died" in m.log() for m in group if m is not first), logs(group)


def test_worker_ejected_by_one_scheduler_is_avoided_by_its_peers(tmp_path: Path, workers: str) -> None:
    """Guard against schedulers that each have to find a faulty worker themselves.

    No process listens on w4's port: one scheduler ejects w4 after its first attempt and notifies the others.
    """
    with fleet(tmp_path, CONFIG | {"discovery": workers}) as group:
        members = start_members(group, 3)
        wait_until(lambda: all(m.call("GET", "/control/ready")[0] == 200 for m in members), "all are ready")
        listening = re.search(r"http listens on 127.0.0.1:(\d+)", members[0].log())
        assert listening
        for number in range(300):
            send_job(int(listening[1]), number)
            spared = {w for m in members[1:] for w in m.view()["spared"]}
            if spared:
                break
        assert spared == {"w4"}, logs(group)


# ---- Helpers ----


def resident_bytes(member: Member) -> int:
    """Return the process's resident memory in bytes."""
    assert member.process is not None
    return int(Path(f"/proc/{member.process.pid}/statm").read_text().split()[1]) * 4096


def send_job(port: int, number: int) -> None:
    """Send a job over HTTP and read the answer."""
    front = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    headers = {"Req-Id": f"r{number}", "Req-Kind": "preview", "Req-Deadline": "4000m"}
    front.request("POST", f"/preview?obj={number}", json.dumps({"n": number}), headers)
    front.getresponse().read()
    front.close()


def command(*options: str) -> subprocess.CompletedProcess[str]:
    line = [sys.executable, "-m", "oxbowyard.cli", "members", *options]
    return subprocess.run(line, cwd=ROOT, capture_output=True, text=True, timeout=30)
