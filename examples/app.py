"""An aiohttp application that schedules requests such as POST /preview, and has handlers of its own.

LB_CONFIG=examples/config.json python examples/app.py --port 18081
"""

from __future__ import annotations

import argparse
import os
from collections.abc import AsyncIterator

from aiohttp import web

from oxbowyard.daemon.composition import compose
from oxbowyard.daemon.config import load
from oxbowyard.middleware import scheduling


async def hello(request: web.Request) -> web.Response:
    """Serve a page of the application itself, which is not scheduled."""
    return web.Response(text="an application of its own\n")


async def make_app() -> web.Application:
    """Create the application. Its scheduler starts and stops with it."""
    subsystems = compose(load(os.environ))

    async def run_scheduler(app: web.Application) -> AsyncIterator[None]:
        subsystems.start()
        yield
        await subsystems.close()

    app = web.Application(middlewares=[scheduling(subsystems.scheduler, subsystems.classes)])
    app.cleanup_ctx.append(run_scheduler)
    app.add_routes([web.get("/", hello)])
    return app


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="An application with the scheduling middleware.")
    parser.add_argument("--port", type=int, default=18081)
    port = parser.parse_args().port
    web.run_app(make_app(), host="127.0.0.1", port=port, handler_cancellation=True)
