"""Notes that members tell each other beside who is there: small values with an age. Without I/O or clock.

A note of one member's own holds until it is over or told anew. A common one is a register of the whole
group: of two the later one holds, by a count that goes on past every one seen (Lamport), then by the name of
who said it; no clock is compared with another's. An age grows with the time that a note is held, and not
with the time that it travels: it is never said to be older than it is.
"""

from __future__ import annotations

from dataclasses import dataclass

from .messages import Note, note_size

Key = tuple[str, str]  # what it is about, and by whom; a common one is by nobody


@dataclass(slots=True)
class _Held:
    note: Note
    began: float  # on the clock of this process
    told: int = 0  # how often it went out from here


class Notes:
    """All notes that hold now, and which of them are still to be told."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._held: dict[Key, _Held] = {}
        self._news: dict[Key, None] = {}
        self._count = 0  # past that of every note seen
        self.dropped = 0  # there was no room for them

    def __len__(self) -> int:
        return len(self._held)

    def say(
        self, now: float, by: str, about: str, value: float, lasts: float, common: bool, count: int | None
    ) -> Note | None:
        """A note of this member's. `count` 0 says a common one without claim to be the last word. Returns
        what is to be told, or None if one holds that is later, or there is no room."""
        if count is None:
            count = self._count + 1
        note = Note(about, by, count, value, 0.0, lasts, common)
        return note if self.take(now, note) else None

    def take(self, now: float, note: Note) -> bool:
        """Take one in; whether it is news."""
        self._count = max(self._count, note.count)
        if note.age >= note.lasts:
            return False
        key = _key(note)
        held = self._held.get(key)
        if held is not None and (note.count, note.by) <= (held.note.count, held.note.by):
            return False
        if held is None and len(self._held) >= self._most:
            self.dropped += 1
            return False
        self._held[key] = _Held(note, now - note.age)
        self._news[key] = None
        return True

    def forget(self, now: float) -> list[Note]:
        """Drop what is over, and return it."""
        over = [key for key, held in self._held.items() if now - held.began >= held.note.lasts]
        for key in over:
            self._news.pop(key, None)
        return [self._held.pop(key).note for key in over]

    def all(self, now: float) -> list[Note]:
        """Every note, with its age now."""
        return [_aged(held, now) for held in self._held.values() if now - held.began < held.note.lasts]

    def to_tell(self, now: float, room: int, most: int) -> list[Note]:
        """What was told least, as much as there is room for in bytes; each goes out `most` times."""
        picked: list[Note] = []
        for key in list(self._news)[:32]:
            held = self._held[key]
            note = _aged(held, now)
            cost = note_size(note)
            if cost > room:
                continue
            room -= cost
            picked.append(note)
            del self._news[key]
            held.told += 1
            if held.told < most and note.age < note.lasts:
                self._news[key] = None  # behind those that were told less
        return picked


def _key(note: Note) -> Key:
    return note.about, "" if note.common else note.by


def _aged(held: _Held, now: float) -> Note:
    n = held.note
    return Note(n.about, n.by, n.count, n.value, max(now - held.began, n.age), n.lasts, n.common)
