"""Runs a small fleet on loopback and sends requests through it."""

from __future__ import annotations

import json
import tempfile
from pathlib import Path

import click
import httpcore

from .fleet import CALLER_KEY, LocalFleet

POOL = "visitor-assistant"


def main() -> None:
    """Start one controller, two routers and two upstreams; send requests."""
    with (
        tempfile.TemporaryDirectory() as folder,
        LocalFleet(Path(folder)) as fleet,
    ):
        fleet.start()
        fleet.configure(fleet.build_document({POOL: "model"}))
        click.echo("configuration version 1 is in force on both routers")
        for number in range(2):
            fleet.start_upstream(f"{POOL}-{number}", POOL)
        for port in fleet.router_ports:
            _stream_answer(port)


def _stream_answer(port: int) -> None:
    body = {"model": POOL, "stream": True, "max_tokens": 5, "id": "demo"}
    with httpcore.stream(
        "POST",
        f"http://127.0.0.1:{port}/v1/chat/completions",
        headers={"authorization": f"Bearer {CALLER_KEY}hotel"},
        content=json.dumps(body).encode(),
    ) as response:
        click.echo(f"router on port {port}: status {response.status}")
        for chunk in response.iter_stream():
            click.echo("  " + chunk.decode().strip())


if __name__ == "__main__":
    main()
