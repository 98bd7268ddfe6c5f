"""Every recorded exchange, played against the started program."""

from __future__ import annotations

from pathlib import Path

import pytest
from exchange_player import TESTS_FOLDER, ExchangePlayer

FILES = sorted((TESTS_FOLDER / "exchanges").glob("*.txt"))
OF_ONE = "# One deployment only: "  # and why, where the exchange is about figures of its settings


@pytest.mark.parametrize("settings", ["settings.json", "settings_asked.json"])
@pytest.mark.parametrize("path", FILES, ids=lambda p: p.stem)
def test_program_reproduces_the_recorded_exchange(path: Path, settings: str, tmp_path: Path) -> None:
    if settings != "settings.json" and OF_ONE in path.read_text():
        pytest.skip("about one deployment's settings")
    ExchangePlayer(path, tmp_path, settings).play()
