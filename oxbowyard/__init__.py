"""oxbowyard: a scheduler that pushes jobs to workers, as a library and as a daemon."""

from .decision.dispatcher import Dispatcher
from .decision.settings import Settings

__all__ = ["Dispatcher", "Settings"]
