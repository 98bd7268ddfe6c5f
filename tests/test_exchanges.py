"""Run every exchange of tests/exchanges/ against the started program."""

from __future__ import annotations

from pathlib import Path

import pytest
from exchange_player import TESTS_FOLDER, ExchangePlayer

FILES = sorted((TESTS_FOLDER / "exchanges").glob("*.txt"))
# Marks an exchange that depends on the figures of settings.json; the reason follows it.
ONE_DEPLOYMENT = "# One deployment only: "


@pytest.mark.parametrize("settings", ["settings.json", "settings_asked.json"])
@pytest.mark.parametrize("path", FILES, ids=lambda p: p.stem)
def test_program_reproduces_the_recorded_exchange(path: Path, settings: str, tmp_path: Path) -> None:
    if settings != "settings.json" and ONE_DEPLOYMENT in path.read_text():
        pytest.skip("depends on the settings of one deployment")
    ExchangePlayer(path, tmp_path, settings).play()
