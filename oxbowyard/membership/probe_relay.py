"""Relaying of indirect probes: this member probes a target on behalf of one that could not reach it."""

from __future__ import annotations

from dataclasses import dataclass

from .dissemination import Dissemination
from .messages import Ack, Nack, Ping, PingRequest
from .state import ProtocolState

RETENTION_INTERVALS = 2  # probe intervals after which an answer is no longer relayed
# Relayed probes per helper and step of the health score: bounds them under a flood of requests.
MAX_RELAYS_PER_HELPER_STEP = 4


@dataclass(slots=True)
class _RelayedProbe:
    requester: str  # address
    sequence_number: int  # of the requester's probe
    nack_at: float
    forget_at: float
    nack_sent: bool = False


@dataclass(slots=True, frozen=True)
class PendingAck:
    """An acknowledgement to be sent once the records and entries of the received message are merged."""

    address: str
    sequence_number: int
    target: str
    by_stream: bool = False


class ProbeRelay:
    """The relayed probes that may still be answered."""

    def __init__(self, state: ProtocolState, dissemination: Dissemination) -> None:
        self._state = state
        self._dissemination = dissemination
        self._relayed: dict[int, _RelayedProbe] = {}  # by this member's own sequence number

    def __len__(self) -> int:
        return len(self._relayed)

    def clear(self) -> None:
        """Remove all relayed probes, since their answers may have been lost during a stall."""
        self._relayed.clear()

    def on_ping_request(self, request: PingRequest, source: str) -> None:
        """Probe the target, or drop the request if too many are open: each requester has other helpers."""
        state, settings = self._state, self._state.settings
        helpers = max(settings.indirect_probe_count, 1)
        if len(self._relayed) >= MAX_RELAYS_PER_HELPER_STEP * settings.max_health_score * helpers:
            return
        sequence_number = state.next_sequence_number()
        self._relayed[sequence_number] = _RelayedProbe(
            source,
            request.sequence_number,
            nack_at=state.now + settings.probe_timeout_s,
            forget_at=state.now + settings.probe_interval_s * RETENTION_INTERVALS,
        )
        records = self._dissemination.select_records()
        state.send(request.address, Ping(state.header(), sequence_number, request.target, records))

    def on_ack(self, ack: Ack) -> PendingAck | None:
        """Return the acknowledgement for the requester if this is the answer to a relayed probe."""
        relayed = self._relayed.pop(ack.sequence_number, None)
        if relayed is None:
            return None
        return PendingAck(relayed.requester, relayed.sequence_number, ack.target)

    def run_due(self) -> None:
        """Send a Nack for each target that has not answered in time, and remove the oldest probes."""
        state = self._state
        for sequence_number, relayed in list(self._relayed.items()):
            if not relayed.nack_sent and state.now >= relayed.nack_at:
                relayed.nack_sent = True
                state.send(relayed.requester, Nack(state.header(), relayed.sequence_number, ""))
            if state.now >= relayed.forget_at:
                del self._relayed[sequence_number]

    def due_times(self) -> list[float]:
        """Return the times at which `run_due` has a Nack to send or a probe to remove."""
        return [probe.forget_at if probe.nack_sent else probe.nack_at for probe in self._relayed.values()]
