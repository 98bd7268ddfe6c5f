"""A toy scan worker and its discovery service, on one port, to try the scheduler with.

python examples/toy_server.py --port 18500
"""

from __future__ import annotations

import argparse
import asyncio
import json
from collections.abc import AsyncIterator

from aiohttp import web

RUN_TIME_S = 0.2


async def hosts(request: web.Request) -> web.Response:
    """Serve discovery: this program is the only worker. A watch times out, as the list never changes."""
    if "after" in request.query:
        await asyncio.sleep(int(request.query.get("wait_ms", "0")) / 1000)
        return web.json_response({"rev": 1, "all": False, "targets": []})
    assert request.transport
    host, port = request.transport.get_extra_info("sockname")[:2]
    where = {"endpoint": f"{host}:{port}", "az": "a", "model": "toy"}
    entry = {"uid": "toy", **where, "state": "ready", "boot_ms": 0}
    return web.json_response({"rev": 1, "all": True, "targets": [entry]})


async def events(job: str, body: bytes) -> AsyncIterator[dict[str, object]]:
    """Run one job and yield its events."""
    yield {"id": job, "from": "toy", "state": "started"}
    await asyncio.sleep(RUN_TIME_S)
    result = f"{len(body)} bytes processed"
    yield {"id": job, "from": "toy", "state": "done", "result": result, "load": {"x0": 4, "waiting": 0}}


async def run_job(request: web.Request) -> web.StreamResponse:
    """Run a job and stream its events as JSON lines."""
    body = await request.read()
    response = web.StreamResponse()
    response.enable_chunked_encoding()
    await response.prepare(request)
    async for event in events(request.headers["Req-Id"], body):
        await response.write(json.dumps(event).encode() + b"\n")
    await response.write_eof()
    return response


async def serve(port: int) -> None:
    """Serve until interrupted."""
    app = web.Application()
    app.add_routes([web.get("/discovery/hosts", hosts), web.post("/{job_class}", run_job)])
    runner = web.AppRunner(app, handler_cancellation=True)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    print(f"toy server on 127.0.0.1:{runner.addresses[0][1]}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="A toy scan worker with discovery.")
    parser.add_argument("--port", type=int, default=18500)
    asyncio.run(serve(parser.parse_args().port))
