"""aiohttp middleware: requests for a job class go to the scheduler core, all others to the application."""

from __future__ import annotations

from collections.abc import Collection

from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

from ..clients.errors import RequestError
from ..clients.request_handler import serve_request
from ..clients.responses import error_response
from ..core.scheduler import Scheduler


def scheduling(scheduler: Scheduler, classes: Collection[str]) -> Middleware:
    """Create a middleware that schedules POST /CLASS requests, which have the same form as for the daemon.

    Run the application with `handler_cancellation=True`: otherwise a client's disconnect does not cancel
    its request.

    Args:
        scheduler: The scheduler core, which answers the requests.
        classes: The names of the job classes. All other paths go to the application's handlers.
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
