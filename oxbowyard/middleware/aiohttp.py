"""aiohttp middleware: requests for a class go to the core, all others to the application's own handlers."""

from __future__ import annotations

from collections.abc import Collection

from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

from ..clients.errors import RequestError
from ..clients.request_handler import serve_request
from ..clients.responses import error_response
from ..core.scheduler import Scheduler


def scheduling(scheduler: Scheduler, classes: Collection[str]) -> Middleware:
    """Middleware that schedules POST /CLASS, in the daemon's form, before the application sees it.

    Run the application with `handler_cancellation=True`: otherwise a disconnect does not cancel the request.

    Args:
        scheduler: The core that answers the requests.
        classes: The job classes; every other path goes to the application's own handlers.
    """
    names = frozenset(classes)

    @web.middleware
    async def middleware(request: web.Request, handler: Handler) -> web.StreamResponse:
        if request.path[1:].split("/", 1)[0] not in names:
            return await handler(request)
        try:
            return await serve_request(request, scheduler, names)
        except RequestError as error:
            return error_response(request, error)

    return middleware
