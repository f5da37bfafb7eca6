"""Runs a small fleet on loopback and shows what it does."""

from __future__ import annotations

import json
import sys
import tempfile
import textwrap
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import click
import httpcore

from hornbeamyard.process.tables import format_table

from .fleet import CALLER_KEY, LocalFleet

POOL = "visitor-assistant"
SLOTS = 4
# Requests at a time of each account, more than the pool has slots.
CALLERS = 12
SPAN_S = 1.5
REQUEST_TOKENS = 10


class DemoError(Exception):
    """A step of the demo that did not work."""


def main() -> None:
    """Start a fleet, use it, change its configuration and stop it."""
    try:
        run()
    except (DemoError, OSError, httpcore.NetworkError) as error:
        click.echo(f"FAILED: {error}", err=True)
        sys.exit(1)


def run() -> None:
    """Run all steps."""
    started = time.monotonic()
    with (
        tempfile.TemporaryDirectory() as folder,
        LocalFleet(Path(folder)) as fleet,
    ):
        click.echo("1. one controller, two routers and two upstreams start")
        fleet.start()
        fleet.configure(fleet.build_document({POOL: "model"}))
        for number in range(2):
            fleet.start_upstream(f"{POOL}-{number}", POOL, f"--slots={SLOTS}")
        _wait_for_workers(fleet)
        click.echo(_call(fleet, "status"))
        click.echo("\n2. an answer streams from an upstream to its caller")
        answer = _stream_answer(fleet.router_ports[1], 5)
        click.echo(f"   {answer}, then [DONE]")
        click.echo("\n3. a patch gives account 'hotel' three times the share")
        click.echo(_patch_share(fleet))
        click.echo("\n4. both accounts keep more requests waiting than fit")
        click.echo(_show_fairness(fleet))
        click.echo("\n5. all processes stop while an answer streams")
        _stop(fleet)
    click.echo(f"\ndone in {time.monotonic() - started:.0f} s")


def _call(fleet: LocalFleet, *arguments: object) -> str:
    """Return what a command prints."""
    done = fleet.run_command(*arguments)
    if done.returncode != 0:
        command = " ".join(str(argument) for argument in arguments)
        raise DemoError(f"{command}: {done.stderr or done.stdout}")
    lines = [f"   {line}".rstrip() for line in done.stdout.splitlines()]
    return "\n".join(lines)


def _wait_for_workers(fleet: LocalFleet) -> None:
    deadline = time.monotonic() + 20
    while len(_read(fleet, "workers")) < 2:
        if time.monotonic() > deadline:
            raise DemoError("the upstreams don't appear")


def _read(fleet: LocalFleet, name: str) -> list[dict[str, Any]]:
    rows: list[dict[str, Any]] = json.loads(_call(fleet, name, "--json"))[name]
    return rows


def _stream_answer(port: int, count: int) -> str:
    body = {"model": POOL, "stream": True, "max_tokens": count, "id": "demo"}
    with httpcore.stream(
        "POST",
        f"http://127.0.0.1:{port}/v1/chat/completions",
        headers={"authorization": f"Bearer {CALLER_KEY}hotel"},
        content=json.dumps(body).encode(),
        extensions={"timeout": {"read": 20.0}},
    ) as response:
        text = b"".join(response.iter_stream()).decode()
    events = [line[6:] for line in text.splitlines() if line]
    if response.status != 200 or events[-1:] != ["[DONE]"]:
        raise DemoError(f"status {response.status}: {text}")
    tokens = [json.loads(event)["token"] for event in events[:-1]]
    if tokens != list(range(count)):
        raise DemoError(f"the answer is not whole: {text}")
    return f"status 200, tokens 0 to {tokens[-1]}"


def _patch_share(fleet: LocalFleet) -> str:
    path = fleet.folder / "share.json"
    operation = {"op": "replace", "path": "/client_accounts/hotel/share"}
    path.write_text(json.dumps([{**operation, "value": 3}]))
    text = _call(fleet, "config", "patch", path)
    return text + "\n" + _call(fleet, "config", "wait", 2)


def _show_fairness(fleet: LocalFleet) -> str:
    stop = threading.Event()
    with ThreadPoolExecutor(2 * CALLERS) as threads:
        answered = {
            account: [
                threads.submit(_send_until, fleet, account, number, stop)
                for number in range(CALLERS)
            ]
            for account in fleet.accounts
        }
        try:
            # The first second is left out, because an idle pool lets the
            # first requests of both accounts start at once.
            time.sleep(1.0)
            before = _read(fleet, "accounts")
            time.sleep(SPAN_S)
            # The load goes on until the second figures are read.
            after = _read(fleet, "accounts")
        finally:
            stop.set()
    counts = {
        account: sum(future.result() for future in futures)
        for account, futures in answered.items()
    }
    return _compare(before, after, counts)


def _compare(
    before: list[dict[str, Any]],
    after: list[dict[str, Any]],
    counts: dict[str, int],
) -> str:
    start = {row["account"]: row["service_s"] for row in before}
    gained = {
        row["account"]: row["service_s"] - start[row["account"]]
        for row in after
    }
    columns = ["account", "share", "waiting", "running", "service_s"]
    table = textwrap.indent(format_table(after, columns), "   ")
    ratio = gained["hotel"] / max(gained["museum"], 0.001)
    text = (
        f"   answered: {counts['hotel']} for hotel, {counts['museum']} for "
        f"museum\n   service gained: hotel {gained['hotel']:.1f} s, museum "
        f"{gained['museum']:.1f} s, ratio {ratio:.2f} for shares 3 to 1"
    )
    if not 2.5 <= ratio <= 3.5:
        raise DemoError(f"the shares are not kept\n{table}\n{text}")
    return table + "\n" + text


def _send_until(
    fleet: LocalFleet, account: str, number: int, stop: threading.Event
) -> int:
    """Send requests one after the other; return how many were answered."""
    port = fleet.router_ports[number % len(fleet.router_ports)]
    body = {"model": POOL, "max_tokens": REQUEST_TOKENS}
    answered = 0
    with httpcore.ConnectionPool() as connections:
        while not stop.is_set():
            response = connections.request(
                "POST",
                f"http://127.0.0.1:{port}/v1/chat/completions",
                headers={"authorization": f"Bearer {CALLER_KEY}{account}"},
                content=json.dumps(body).encode(),
                extensions={"timeout": {"read": 20.0}},
            )
            if response.status != 200:
                raise DemoError(f"{account}: {response.content.decode()}")
            answered += 1
    return answered


def _stop(fleet: LocalFleet) -> None:
    with ThreadPoolExecutor(1) as threads:
        answer = threads.submit(_stream_answer, fleet.router_ports[1], 100)
        time.sleep(0.5)
        if answer.done():
            raise DemoError("the answer ended before the stop")
        codes = fleet.stop()
        click.echo(f"   {answer.result()}, then [DONE]")
    for name, code in codes.items():
        if name.startswith("host-") and code != 0:
            log = fleet.read_log(name)
            raise DemoError(f"{name} ended with exit code {code}\n{log}")
    hosts = sorted(name for name in codes if name.startswith("host-"))
    click.echo(f"   exit code 0 of {', '.join(hosts)}")


if __name__ == "__main__":
    main()
