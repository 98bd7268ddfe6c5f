"""Push-pull sync: two members exchange their complete state by stream, also after a partition."""

from __future__ import annotations

from .dissemination import Dissemination
from .messages import Header, MemberState, PushPull
from .state import ProtocolState

MAX_LEARNED_SEEDS = 16
# Bounds of the random factor of an interval, so that members do not act in step.
INTERVAL_JITTER = (0.75, 1.25)
ALONE_JITTER = (0.5, 1.5)
JOIN_JITTER = (0.25, 0.5)


class PushPullSync:
    """Schedules the exchanges of the complete state and selects the members for them."""

    def __init__(self, state: ProtocolState, dissemination: Dissemination) -> None:
        self._state = state
        self._dissemination = dissemination
        self._next_sync_at = 0.0
        self._next_reconnect_at = 0.0
        self._seeds: tuple[str, ...] = ()  # addresses

    def start(self, seeds: tuple[str, ...]) -> None:
        """Schedule the sync with the seeds for the first timer."""
        state = self._state
        self._seeds = tuple(address for address in seeds if address != state.me.address)
        self._next_sync_at = state.now
        self._next_reconnect_at = state.now + state.settings.reconnect_interval_s

    def due_times(self) -> list[float]:
        """Return the times of the next sync and of the next attempt to reconnect."""
        return [self._next_sync_at, self._next_reconnect_at]

    # ---- Sync ----

    def sync_if_due(self) -> None:
        """Sync with a random live member, or with all seeds while no other member is known."""
        state, settings = self._state, self._state.settings
        if state.now < self._next_sync_at or state.has_left:
            return
        state.members.forget_dead(before=state.now - settings.dead_retention_s)
        addresses = [member.record.address for member in state.members.live()]
        if addresses:
            interval_s = settings.scaled_push_pull_interval_s(state.live_count())
            self._next_sync_at = state.now + state.random.uniform(*INTERVAL_JITTER) * interval_s
            targets = [state.random.choice(addresses)]
        else:
            self._next_sync_at = state.now + state.random.uniform(*ALONE_JITTER) * settings.probe_interval_s
            targets = list(self._seeds)
        for address in targets:
            self._send_state(address)

    def sync_soon(self) -> None:
        """Sync sooner after a member has joined, if this member volunteers.

        When many members join at once, the record of each is disseminated before most of the others have
        joined, so they do not receive it.
        """
        state = self._state
        if state.should_volunteer():
            delay_s = state.random.uniform(*JOIN_JITTER) * state.settings.reconnect_interval_s
            self._next_sync_at = min(self._next_sync_at, state.now + delay_s)

    def schedule_randomly(self) -> None:
        """Schedule the next sync at a random time, as if this member had been running for a long time."""
        state = self._state
        interval_s = state.settings.scaled_push_pull_interval_s(state.live_count())
        self._next_sync_at = state.now + state.random.uniform(0, interval_s)

    def on_contact(self, header: Header) -> None:
        """Schedule a sync at once if the sender is unknown, and add its address to the seeds."""
        if header.name in self._state.members.by_name:
            return
        self._next_sync_at = min(self._next_sync_at, self._state.now)
        if header.address not in self._seeds:
            self._seeds = (*self._seeds[-(MAX_LEARNED_SEEDS - 1) :], header.address)

    def reply(self, address: str) -> None:
        """Answer a sync with this member's complete state."""
        self._state.send(address, self._complete_state(wants_reply=False), by_stream=True)

    # ---- Reconnection ----

    def reconnect_if_due(self) -> None:
        """Sync with a dead member or a lost seed, if this member volunteers: a partition may have healed.

        The seeds stay known after the dead members have been removed from the list.
        """
        state = self._state
        if state.now < self._next_reconnect_at or state.has_left:
            return
        interval_s = state.settings.reconnect_interval_s
        self._next_reconnect_at = state.now + state.random.uniform(*INTERVAL_JITTER) * interval_s
        if not state.should_volunteer():
            return
        live = {member.record.address for member in state.members.live()}
        lost = [member.record.address for member in state.members if member.state is MemberState.DEAD]
        lost += [seed for seed in self._seeds if seed not in live]
        if lost and live:
            self._send_state(state.random.choice(lost))

    def _send_state(self, address: str) -> None:
        self._state.send(address, self._complete_state(wants_reply=True), by_stream=True)

    def _complete_state(self, wants_reply: bool) -> PushPull:
        state = self._state
        records = [state.me, *(member.record for member in state.members)]
        return PushPull(state.header(), wants_reply, records, self._dissemination.entries.all(state.now))
