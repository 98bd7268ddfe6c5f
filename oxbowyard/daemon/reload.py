"""Configuration reload on SIGHUP, and the state "reloading".

The classes, the number of attempts and the discovery address change without a restart. An invalid file is
rejected as a whole. All other changes take effect after a restart.
"""

from __future__ import annotations

import asyncio
import logging

from ..core.settings_update import plan_settings_update, restart_only_changes
from ..decision.settings import Settings
from .config import ConfigurationError, missing_key, needs_restart
from .context import ProgramContext
from .loading import OPERATOR_TABLES, ConfigurationLoader, LoadedConfiguration
from .states import State
from .units import MS_PER_S

log = logging.getLogger("oxbowyard.daemon")

SETTLE_S = 2.0  # until all clients use the new classes: the first do so 1.2 s after the signal


class Reloader:
    """Reloads the configuration and applies the changes that need no restart."""

    def __init__(self, context: ProgramContext, load: ConfigurationLoader) -> None:
        self._context = context
        self._load = load
        self._discovery = context.config.discovery  # current address
        self.settings = context.config.settings  # current; a reload changes the classes and max_attempts
        self._settling: asyncio.TimerHandle | None = None

    def reload(self) -> None:
        """Handle SIGHUP in any state. Open requests are not affected."""
        loaded = self._load_or_reject()
        if loaded is None:
            return
        needing_restart = (
            *needs_restart(self._context.config, loaded.config),
            *self._update_settings(loaded.config.settings),
            *self._changed_tables(loaded),
        )
        if needing_restart:
            log.warning("configuration reloaded: restart required for: %s", ", ".join(needing_restart))
        self._move_discovery(loaded.config.discovery)

    def _load_or_reject(self) -> LoadedConfiguration | None:
        try:
            loaded = self._load()
            if (missing := missing_key(self._context.config, loaded.config)) is not None:
                raise ConfigurationError(f"the file lacks {missing}, which the current one has")
        except ConfigurationError as error:
            self._context.reload_counts.invalid += 1
            log.error("configuration rejected, the one in force stays: error=%s", error)
            return None
        self._context.reload_counts.accepted += 1
        return loaded

    def _changed_tables(self, loaded: LoadedConfiguration) -> tuple[str, ...]:
        started = self._context.loaded
        return tuple(name for name in OPERATOR_TABLES if getattr(loaded, name) != getattr(started, name))

    def _move_discovery(self, address: str) -> None:
        if address == self._discovery:
            log.info("configuration reloaded: discovery unchanged: address=%s", address)
            return
        log.info("configuration reloaded: discovery moves: address=%s", address)
        self._discovery = address
        if self._context.states.current is State.SERVING:
            self._context.states.enter(State.RELOADING)
        self._context.subsystems.discovery.change_address(address)

    def _update_settings(self, settings: Settings) -> tuple[str, ...]:
        """Apply new classes and max_attempts: the stricter of old and new values until all clients use the
        new ones. Return the names of the settings that need a restart."""
        needing_restart = restart_only_changes(self.settings, settings)
        if self._context.subsystems.job_queue is not None:  # with deferred jobs the classes are fixed
            return (*needing_restart, *self._changed_live_settings(settings))
        step = plan_settings_update(self.settings, settings)
        self._cancel_settling()
        if step.final == self.settings:
            return needing_restart
        self._apply(step.transition)
        self._settling = asyncio.get_running_loop().call_later(SETTLE_S, self._apply, step.final)
        names = ",".join(c.name for c in step.final.classes)
        log.info("settings reloaded: classes=%s max_attempts=%d", names, step.final.max_attempts)
        return needing_restart

    def _changed_live_settings(self, settings: Settings) -> tuple[str, ...]:
        """Return the keys of changed settings that need a restart only because there are deferred jobs."""
        pairs = {
            "settings.lanes": settings.classes != self.settings.classes,
            "settings.policyLimits.maxAttempts": settings.max_attempts != self.settings.max_attempts,
        }
        return tuple(key for key, has_changed in pairs.items() if has_changed)

    def _cancel_settling(self) -> None:
        """Cancel the second step of an earlier reload, also if the new reload merely reverts it."""
        if self._settling is not None:
            self._settling.cancel()
            self._settling = None

    def _apply(self, settings: Settings) -> None:
        context = self._context
        self.settings = settings
        context.subsystems.apply_settings(settings)
        context.client_connections.classes = context.subsystems.classes
        context.longest_deadline_s = max(
            context.longest_deadline_s, *(c.deadline_ms / MS_PER_S for c in settings.classes)
        )
