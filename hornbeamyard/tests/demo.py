"""Runs a small fleet on loopback and shows its main features."""

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

from .fleet import CALLER_KEY_PREFIX, LocalFleet

POOL = "visitor-assistant"
SLOTS = 4
# More than the slots of the pool, so that both accounts have waiting requests.
CALLERS_PER_ACCOUNT = 12
MEASUREMENT_S = 1.5
REQUEST_TOKENS = 10


class DemoError(Exception):
    """A step of the demo failed."""


def main() -> None:
    """Run the demo; exit with code 1 if a step fails."""
    try:
        run()
    except (DemoError, OSError, httpcore.NetworkError) as error:
        click.echo(f"FAILED: {error}", err=True)
        sys.exit(1)


def run() -> None:
    """Start a fleet, use it, change its configuration and stop it."""
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
        _wait_for_upstreams(fleet)
        click.echo(_run_command(fleet, "status"))
        click.echo("\n2. a response streams from an upstream to its caller")
        summary = _stream_response(fleet.router_ports[1], 5)
        click.echo(f"   {summary}, then [DONE]")
        click.echo(
            "\n3. a patch raises the share of account 'hotel' from 1 to 3"
        )
        click.echo(_patch_share(fleet))
        click.echo(
            "\n4. both accounts send more requests than the pool has slots"
        )
        click.echo(_show_fairness(fleet))
        click.echo("\n5. all processes stop while a response streams")
        _stop(fleet)
    click.echo(f"\ndone in {time.monotonic() - started:.0f} s")


def _run_command(fleet: LocalFleet, *arguments: object) -> str:
    """Run `hornbeamyard ARGUMENTS` and return its output, indented."""
    result = fleet.run_command(*arguments)
    if result.returncode != 0:
        command = " ".join(str(argument) for argument in arguments)
        raise DemoError(f"{command}: {result.stderr or result.stdout}")
    lines = [f"   {line}".rstrip() for line in result.stdout.splitlines()]
    return "\n".join(lines)


def _wait_for_upstreams(fleet: LocalFleet) -> None:
    deadline = time.monotonic() + 20
    while len(_list_rows(fleet, "workers")) < 2:
        if time.monotonic() > deadline:
            raise DemoError(
                "the upstreams did not announce themselves in time"
            )


def _list_rows(fleet: LocalFleet, name: str) -> list[dict[str, Any]]:
    rows: list[dict[str, Any]] = json.loads(
        _run_command(fleet, name, "--json")
    )[name]
    return rows


def _stream_response(port: int, count: int) -> str:
    body = {"model": POOL, "stream": True, "max_tokens": count, "id": "demo"}
    with httpcore.stream(
        "POST",
        f"http://127.0.0.1:{port}/v1/chat/completions",
        headers={"authorization": f"Bearer {CALLER_KEY_PREFIX}hotel"},
        content=json.dumps(body).encode(),
        extensions={"timeout": {"read": 20.0}},
    ) as response:
        text = b"".join(response.iter_stream()).decode()
    events = [line[6:] for line in text.splitlines() if line]
    if response.status != 200 or events[-1:] != ["[DONE]"]:
        raise DemoError(f"status {response.status}: {text}")
    tokens = [json.loads(event)["token"] for event in events[:-1]]
    if tokens != list(range(count)):
        raise DemoError(f"the response is incomplete: {text}")
    return f"status 200, tokens 0 to {tokens[-1]}"


def _patch_share(fleet: LocalFleet) -> str:
    path = fleet.folder / "share.json"
    operation = {"op": "replace", "path": "/client_accounts/hotel/share"}
    path.write_text(json.dumps([{**operation, "value": 3}]))
    output = _run_command(fleet, "config", "patch", path)
    return output + "\n" + _run_command(fleet, "config", "wait", 2)


def _show_fairness(fleet: LocalFleet) -> str:
    stop = threading.Event()
    with ThreadPoolExecutor(2 * CALLERS_PER_ACCOUNT) as threads:
        futures = {
            account: [
                threads.submit(_send_until, fleet, account, number, stop)
                for number in range(CALLERS_PER_ACCOUNT)
            ]
            for account in fleet.accounts
        }
        try:
            # The first second isn't measured: in an idle pool the first
            # requests of both accounts start at once.
            time.sleep(1.0)
            before = _list_rows(fleet, "accounts")
            time.sleep(MEASUREMENT_S)
            # Read the second figures while the load still runs.
            after = _list_rows(fleet, "accounts")
        finally:
            stop.set()
    counts = {
        account: sum(future.result() for future in started)
        for account, started in futures.items()
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
        raise DemoError(
            f"the service does not match the shares\n{table}\n{text}"
        )
    return table + "\n" + text


def _send_until(
    fleet: LocalFleet, account: str, number: int, stop: threading.Event
) -> int:
    """Send requests one after the other; return the number of responses."""
    port = fleet.router_ports[number % len(fleet.router_ports)]
    body = {"model": POOL, "max_tokens": REQUEST_TOKENS}
    answered = 0
    with httpcore.ConnectionPool() as connections:
        while not stop.is_set():
            response = connections.request(
                "POST",
                f"http://127.0.0.1:{port}/v1/chat/completions",
                headers={
                    "authorization": f"Bearer {CALLER_KEY_PREFIX}{account}"
                },
                content=json.dumps(body).encode(),
                extensions={"timeout": {"read": 20.0}},
            )
            if response.status != 200:
                raise DemoError(f"{account}: {response.content.decode()}")
            answered += 1
    return answered


def _stop(fleet: LocalFleet) -> None:
    with ThreadPoolExecutor(1) as threads:
        response = threads.submit(_stream_response, fleet.router_ports[1], 100)
        time.sleep(0.5)
        if response.done():
            raise DemoError("the response ended before the stop")
        codes = fleet.stop()
        click.echo(f"   {response.result()}, then [DONE]")
    for name, code in codes.items():
        if name.startswith("host-") and code != 0:
            log = fleet.read_log(name)
            raise DemoError(f"{name} ended with exit code {code}\n{log}")
    hosts = sorted(name for name in codes if name.startswith("host-"))
    click.echo(f"   exit code 0 of {', '.join(hosts)}")


if __name__ == "__main__":
    main()
