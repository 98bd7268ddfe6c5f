"""Cordons at the limits of the cordon file."""

from __future__ import annotations

from pathlib import Path

import orjson
import pytest

from oxbowyard.control.cordon_file import MAX_CORDONED, CordonFile
from oxbowyard.control.handlers import MAX_UID_LENGTH


@pytest.mark.parametrize("character", ["w", "\x01", "\U0001f5c4"])
def test_a_cordon_file_of_maximum_size_is_read_back_completely(character: str, tmp_path: Path) -> None:
    # Guards against a cordon file that is truncated on reading, which would uncordon its workers.
    digits = len(str(MAX_CORDONED))
    uids = [f"{n:0{digits}}".ljust(MAX_UID_LENGTH, character) for n in range(MAX_CORDONED)]
    path = tmp_path / "out.json"
    path.write_bytes(orjson.dumps(uids[:-1]))
    CordonFile(path).update(uids[-1], cordoned=True)
    assert CordonFile(path).read() == frozenset(uids)
