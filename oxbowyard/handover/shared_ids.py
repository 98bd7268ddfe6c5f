"""The files in `$TMPDIR` by which the processes of one scheduler know which request ids the others have sent.

A process appends a record before it sends a request that must not simply be repeated, and then reads what the
others have appended. Appends are atomic, so all processes see the records of a file in one order: the process
whose record of an id comes first sends the request, and the others see that record before they send theirs.

A file that has `MAX_RECORDS` is continued by the next one; the present and the previous file are kept. At the
change, two processes may write to different files. Then the order is not known, and a process that finds
another's record of its id in the other file does not send the request, even if neither does.

A folder that fails is logged once. The ids are then not shared, and the process remembers its own.
"""

from __future__ import annotations

import logging
import os
import struct
from collections.abc import Iterable, Iterator
from pathlib import Path

from ..core.repeats import SentId

log = logging.getLogger("oxbowyard.handover")

RECORD = struct.Struct("<16sdd")  # digest, time of the sending, time until which it may be repeated
MAX_RECORDS = 8192  # of one file: 256 KiB
MAX_FILE_BYTES = MAX_RECORDS * RECORD.size
READ_AT_ONCE_BYTES = 1 << 16


class _IdFile:
    """One file of records, and how far this process has read it."""

    def __init__(self, path: Path) -> None:
        self._descriptor = os.open(path, os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, 0o600)
        self._read_to = 0

    @property
    def is_full(self) -> bool:
        """Whether the next file is to be used."""
        return os.fstat(self._descriptor).st_size >= MAX_FILE_BYTES

    def append(self, sent: SentId) -> int:
        """Append a record; return its offset. Raises OSError."""
        data = RECORD.pack(sent.digest, sent.sent_at, sent.repeat_deadline)
        if os.write(self._descriptor, data) != RECORD.size:
            raise OSError("a record was written in part")
        return os.lseek(self._descriptor, 0, os.SEEK_CUR) - RECORD.size

    def read_new(self) -> Iterator[tuple[int, SentId]]:
        """Yield the records that were not read before, with their offsets. Raises OSError."""
        while data := os.pread(self._descriptor, READ_AT_ONCE_BYTES, self._read_to):
            whole = len(data) - len(data) % RECORD.size
            if not whole:
                return
            offset = self._read_to
            self._read_to += whole
            for values in RECORD.iter_unpack(data[:whole]):
                yield offset, SentId(*values)
                offset += RECORD.size

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)


class SharedIdFiles:
    """The present and the previous file of one scheduler."""

    def __init__(self, folder: Path, name: str) -> None:
        """`name` is the scheduler's name."""
        self._folder = folder
        self._prefix = f"oxbowyard-{name}-ids-"
        self._files: dict[int, _IdFile] = {}  # by number, the present one last
        self._unreported: list[SentId] = []  # read, but not returned by `read_new` yet
        self._has_failed = False

    def open(self) -> None:
        """Open the files that other processes have left, or create the first one."""
        try:
            numbers = self._numbers()
            for number in numbers[-2:] or [0]:
                self._open(number)
            self._remove_old(numbers[:-2])
        except OSError as error:
            self._fail(error)

    def close(self) -> None:
        """Close the files. They stay, for the processes that run beside or after this one."""
        for file in self._files.values():
            file.close()
        self._files.clear()

    def claim(self, sent: SentId) -> bool:
        """Append a record of an id; return False if another process may have sent it."""
        try:
            return self._claim(sent)
        except OSError as error:
            self._fail(error)
            return True

    def read_new(self) -> Iterable[SentId]:
        """Return the records that other processes have appended since the last call."""
        try:
            self._follow()
            for file in self._files.values():
                self._unreported += [sent for _, sent in file.read_new()]
        except OSError as error:
            self._fail(error)
        found, self._unreported = self._unreported, []
        return found

    def _claim(self, sent: SentId) -> bool:
        if not self._files:
            return True
        self._follow()
        number = max(self._files)
        own_offset = self._files[number].append(sent)
        self._follow()  # another process may have gone on to the next file meanwhile
        is_first = all(earlier.digest != sent.digest for earlier in self._unreported)
        for other_number, file in self._files.items():
            for offset, other in file.read_new():
                if other_number == number and offset == own_offset:
                    continue
                self._unreported.append(other)
                comes_later = other_number == number and offset > own_offset
                is_first &= comes_later or other.digest != sent.digest
        return is_first

    def _follow(self) -> None:
        """Open the next file if the present one is full. Raises OSError."""
        while self._files and self._files[max(self._files)].is_full:
            self._open(max(self._files) + 1)
            while len(self._files) > 2:
                number = min(self._files)
                oldest = self._files.pop(number)
                self._unreported += [sent for _, sent in oldest.read_new()]
                oldest.close()
                self._remove_old([number])

    def _open(self, number: int) -> None:
        self._files[number] = _IdFile(self._folder / f"{self._prefix}{number}")

    def _numbers(self) -> list[int]:
        names = (path.name.removeprefix(self._prefix) for path in self._folder.glob(f"{self._prefix}*"))
        return sorted(int(name) for name in names if name.isdecimal())

    def _remove_old(self, numbers: Iterable[int]) -> None:
        for number in numbers:
            (self._folder / f"{self._prefix}{number}").unlink(missing_ok=True)

    def _fail(self, error: OSError) -> None:
        if not self._has_failed:
            self._has_failed = True
            log.error("request ids not shared with other processes: error=%s", error)
