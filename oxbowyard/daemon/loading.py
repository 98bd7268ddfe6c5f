"""Loads the configuration files of one program: the platform's, and the operator's if there are any."""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from ..gearman.config import GearmanConfig
from ..gearman.config import load as load_gearman
from .config import Config, ConfigurationError
from .config import load as load_platform

if TYPE_CHECKING:  # optional dependencies: imported only if the operator's file has the table
    from ..durable.settings import DurableSettings
    from ..membership.table import MembershipSettings
    from ..start.table import StartSettings
    from ..waiting.settings import WaitingSettings


@dataclass(slots=True, frozen=True)
class LoadedConfiguration:
    """The platform's configuration and the tables of the operator's files."""

    config: Config
    gearman: GearmanConfig | None = None
    waiting: WaitingSettings | None = None
    durable: DurableSettings | None = None
    membership: MembershipSettings | None = None
    start: StartSettings | None = None


OPERATOR_TABLES = ("gearman", "waiting", "durable", "membership", "start")  # a change needs a restart

ConfigurationLoader = Callable[[], LoadedConfiguration]  # raises ConfigurationError


def load_all(gearman: Path | None, operator: Path | None) -> LoadedConfiguration:
    """Read the file named by LB_CONFIG and the files given here. Raises ConfigurationError."""
    config = load_platform(os.environ)
    if operator is None:
        return LoadedConfiguration(config, _load_gearman(gearman, config))
    try:  # imported here because its dependencies are optional
        from ..operator.file import load as load_operator
    except ImportError as error:
        raise ConfigurationError(
            f"--operator needs the extra waiting: module {error.name} not found"
        ) from None
    try:
        tables = load_operator(operator, config.settings.classes)
    except ValueError as error:
        raise ConfigurationError(_one_line(error)) from None
    if gearman is not None and tables.gearman is not None:
        raise ConfigurationError(f"{operator.name} has a table [gearman], and --gearman names another file")
    return LoadedConfiguration(
        config,
        tables.gearman or _load_gearman(gearman, config),
        tables.waiting,
        tables.durable,
        tables.membership,
        tables.start,
    )


def _load_gearman(path: Path | None, config: Config) -> GearmanConfig | None:
    if path is None:
        return None
    try:
        found = load_gearman(path, config.settings.classes)
    except ValueError as error:
        raise ConfigurationError(_one_line(error)) from None
    if any(function.queueing for function in found.functions.values()):
        raise ConfigurationError(
            f"{path.name}: queueing needs --operator with a file that has the table [waiting]"
        )
    return found


def _one_line(error: ValueError) -> str:
    return " ".join(str(error).split())
