"""Measures processor time of routers and controllers on loopback.

Run with `python -m benchmarks.process_time`. With `--baseline FOLDER`, another
checkout of the project is measured in the same run, in turns with this one,
and the ratios are printed. The processes are run by the base interpreter with
the dependencies on its path, as on the users' platform, but without the
module `site`, whose cost depends on what else the machine has installed.
"""

from __future__ import annotations

import argparse
import json
import os
import shutil
import site
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

from hornbeamyard.tests.fleet import find_free_port

CONTROLLERS = 3
ROUTERS = 2
UPSTREAMS = 4
TOLERATED = 1
HEARTBEAT_INTERVAL_S = 1.0
TIMEOUT_S = 30.0
# Time in which a fleet comes to rest after its start.
SETTLE_S = 3.0
# Requests that aren't measured, at the start.
WARM_UP_REQUESTS = 100
# Events of a short and of a long stream. The difference of their costs is the
# cost of events without that of a request.
EVENT_COUNTS = (10, 210)
EVENT_INTERVAL_S = 0.001
PAGE = b"x" * 200


class Upstream(threading.Thread):
    """An HTTP server that answers every request at once.

    Parameters
    ----------
    id : str
    """

    def __init__(self, id: str) -> None:
        super().__init__(daemon=True)
        self.id = id
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"

    def run(self) -> None:
        """Accept connections until the process ends."""
        while True:
            connection, _ = self._listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection, suppress(OSError):
            while head := _read_head(connection):
                self._respond(connection, head)

    def _respond(self, connection: socket.socket, head: bytes) -> None:
        fields = _parse_fields(head)
        answer = (
            b"HTTP/1.1 200 OK\r\nx-response-seal: s\r\nx-request-id: "
            + fields[b"x-request-id"]
        )
        events = int(fields.get(b"events", b"0"))
        if not events:
            length = str(len(PAGE)).encode()
            answer += b"\r\ncontent-length: " + length + b"\r\n\r\n" + PAGE
            connection.sendall(answer)
            return
        connection.sendall(
            answer + b"\r\ncontent-type: text/event-stream"
            b"\r\ntransfer-encoding: chunked\r\n\r\n"
        )
        for number in range(events):
            time.sleep(EVENT_INTERVAL_S)
            event = f"id: {number + 1}\ndata: {'x' * 40}\n\n".encode()
            connection.sendall(b"%x\r\n%b\r\n" % (len(event), event))
        connection.sendall(b"0\r\n\r\n")


class Fleet:
    """Controllers, routers and upstreams that run one checkout.

    Parameters
    ----------
    checkout : Path
        Folder of the project whose code the processes run.
    folder : Path
        For settings, data and logs.
    """

    def __init__(self, checkout: Path, folder: Path) -> None:
        self.checkout = checkout
        self.folder = folder
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.status_ports: dict[str, int] = {}
        self.caller_ports: dict[str, int] = {}
        self._peers = [
            f"127.0.0.1:{find_free_port()}" for _ in range(CONTROLLERS)
        ]
        self._upstreams = [
            Upstream(f"u{number}") for number in range(UPSTREAMS)
        ]
        self._announces = threading.Event()
        for number, peer in enumerate(self._peers):
            self._write_controller(f"controller-{number}", peer)
        for number in range(ROUTERS + 1):
            self._write_router(f"router-{number}")

    def start(self) -> None:
        """Start all processes but the last router, with a routing."""
        for upstream in self._upstreams:
            upstream.start()
        for number in range(CONTROLLERS):
            self.launch(f"controller-{number}")
        self._submit_routing()
        threading.Thread(target=self._announce, daemon=True).start()
        for number in range(ROUTERS):
            self.launch(f"router-{number}")
        for number in range(ROUTERS):
            self.wait_ready(f"router-{number}")
        time.sleep(SETTLE_S)

    def stop(self) -> None:
        """End all processes."""
        self._announces.set()
        for name in list(self.processes):
            self.kill(name)

    def launch(self, name: str) -> None:
        """Start one process."""
        path = os.pathsep.join(site.getsitepackages())
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [_find_interpreter(), "-S", "-m", "hornbeamyard.platform"],
                cwd=self.checkout,
                stdout=log,
                stderr=log,
                env={
                    "HORNBEAMYARD_CONFIG": str(self.folder / f"{name}.json"),
                    "PYTHONPATH": path,
                },
            )

    def kill(self, name: str) -> None:
        """End one process."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def read_cpu(self, name: str) -> float:
        """Return the processor time that a process has used, in seconds."""
        return read_cpu(self.processes[name].pid)

    def wait_answer(self, name: str) -> None:
        """Wait for any response of the readiness port."""
        path = "/readiness" if name.startswith("router") else "/"
        deadline = time.monotonic() + TIMEOUT_S
        while not call(self.status_ports[name], "GET", path):
            if time.monotonic() > deadline:
                raise TimeoutError(f"{name} doesn't answer")
            time.sleep(0.005)

    def wait_ready(self, name: str) -> None:
        """Wait until a router is ready."""
        deadline = time.monotonic() + TIMEOUT_S
        while call(self.status_ports[name], "GET", "/readiness") != 200:
            if time.monotonic() > deadline:
                raise TimeoutError(f"{name} isn't ready")
            time.sleep(0.02)

    def _submit_routing(self) -> None:
        document = json.dumps(build_routing()).encode()
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            for number in range(CONTROLLERS):
                port = self.status_ports[f"controller-{number}"]
                path = "/Configuration.Replace"
                if call(port, "POST", path, document) == 200:
                    return
            time.sleep(0.1)
        raise TimeoutError("no controller accepts the routing")

    def _announce(self) -> None:
        sequence = 0
        while not self._announces.is_set():
            sequence += 1
            for number, upstream in enumerate(self._upstreams):
                body = {
                    "service": "s",
                    "address": upstream.address,
                    "zone": "zone-a",
                    "slots": 64,
                    "sequence": sequence,
                    "state": "ready",
                    "born": 1,
                    "version": "v1",
                }
                name = f"controller-{number % CONTROLLERS}"
                call(
                    self.status_ports[name],
                    "POST",
                    f"/Instances.Heartbeat/{upstream.id}",
                    json.dumps(body).encode(),
                )
            self._announces.wait(HEARTBEAT_INTERVAL_S)

    def _write_controller(self, name: str, peer: str) -> None:
        self.status_ports[name] = find_free_port()
        controller = {
            "address": peer,
            "status_address": f"127.0.0.1:{self.status_ports[name]}",
            "data_folder": f"data-{name}",
        }
        self._write_settings(name, {"controller": controller})

    def _write_router(self, name: str) -> None:
        self.status_ports[name] = find_free_port()
        self.caller_ports[name] = find_free_port()
        router = {
            "address": f"127.0.0.1:{self.caller_ports[name]}",
            "status_address": f"127.0.0.1:{self.status_ports[name]}",
            "drain_s": 1,
        }
        self._write_settings(name, {"router": router})

    def _write_settings(self, name: str, role: dict[str, Any]) -> None:
        document = {
            "fleet": "benchmark",
            "host": name,
            "availability_zone": "zone-a",
            "plain_text": True,
            "directory": {
                "seeds": self._peers[: TOLERATED + 1],
                "first_start": True,
                "tolerated_hosts": TOLERATED,
                "announcement_interval_s": HEARTBEAT_INTERVAL_S,
                "metrics_address": f"127.0.0.1:{find_free_port()}",
            },
            **role,
        }
        # The platform's template begins with a comment, too.
        text = "// Settings of a process.\n" + json.dumps(document, indent=2)
        (self.folder / f"{name}.json").write_text(text)


def build_routing() -> dict[str, Any]:
    """Return the platform's document with a plain and a streaming route."""
    return {
        "version": 1,
        "routes": [
            {
                "name": kind,
                "host": "a.example",
                "pathPrefix": f"/{kind}/",
                "routeKind": kind,
                "timeoutMs": 9000,
                "service": "s",
            }
            for kind in ("idempotent", "streaming")
        ],
        "services": [{"name": "s"}],
        "limits": {},
    }


def read_cpu(pid: int) -> float:
    """Return the processor time of a process's threads, in seconds.

    Source: /proc/PID/task/TID/schedstat, in nanoseconds.
    """
    total = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        with suppress(OSError):
            total += int((task / "schedstat").read_text().split()[0])
    return total / 1e9


def call(port: int, method: str, path: str, body: bytes = b"") -> int:
    """Return the status of a call over a new connection; 0 without one."""
    head = f"{method} {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n"
    head += f"content-length: {len(body)}\r\n\r\n"
    try:
        with socket.create_connection(("127.0.0.1", port), 5) as connection:
            connection.sendall(head.encode() + body)
            answer = connection.recv(65536)
            while connection.recv(65536):
                pass
    except OSError:
        return 0
    return int(answer.split()[1]) if answer else 0


def _find_interpreter() -> str:
    return getattr(sys, "_base_executable", sys.executable)


def _read_head(connection: socket.socket) -> bytes:
    data = b""
    while b"\r\n\r\n" not in data:
        piece = connection.recv(65536)
        if not piece:
            return b""
        data += piece
    return data


def _parse_fields(head: bytes) -> dict[bytes, bytes]:
    lines = head.partition(b"\r\n\r\n")[0].split(b"\r\n")[1:]
    pairs = (line.partition(b":") for line in lines)
    return {name.lower(): value.strip() for name, _, value in pairs}


def _build_request(path: str, number: int, more: str = "") -> bytes:
    return (
        f"GET {path} HTTP/1.1\r\nhost: a.example\r\nx-request-id: r{number}"
        f"\r\nx-deadline-ms: 5000\r\n{more}\r\n"
    ).encode()


def _exchange(connection: socket.socket, request: bytes, status: int) -> None:
    """Send a request and read its whole response."""
    connection.sendall(request)
    data = b""
    while b"\r\n\r\n" not in data:
        piece = connection.recv(65536)
        if not piece:
            raise ConnectionError("the router has closed the connection")
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    if int(head.split()[1]) != status:
        raise AssertionError(f"unexpected response: {data[:400]!r}")
    length = _parse_fields(head).get(b"content-length")
    while (
        len(body) < int(length) if length else not body.endswith(b"0\r\n\r\n")
    ):
        body += connection.recv(65536)


class Caller:
    """Sends requests to one router, one after the other."""

    def __init__(self, fleet: Fleet, router: str) -> None:
        self._fleet = fleet
        self._router = router
        self._number = 0

    def measure(
        self,
        count: int,
        path: str,
        status: int = 200,
        more: str = "",
        is_kept: bool = True,
    ) -> float:
        """Return the processor time of a request, in seconds.

        The router's idle time during the requests is part of it.
        """
        before = self._fleet.read_cpu(self._router)
        connection = None
        for _ in range(count):
            self._number += 1
            if connection is None:
                port = self._fleet.caller_ports[self._router]
                connection = socket.create_connection(("127.0.0.1", port), 10)
            _exchange(
                connection, _build_request(path, self._number, more), status
            )
            if not is_kept:
                connection.close()
                connection = None
        if connection is not None:
            connection.close()
        # Log lines are written by a thread after the response.
        time.sleep(0.05)
        return (self._fleet.read_cpu(self._router) - before) / count


def measure_start(fleet: Fleet, name: str) -> float:
    """Start a process; return its processor time to the first answer."""
    fleet.launch(name)
    fleet.wait_answer(name)
    return fleet.read_cpu(name)


def measure_starts(fleet: Fleet) -> dict[str, float]:
    """Start a router and a controller; return their costs in ms."""
    name = f"router-{ROUTERS}"
    results = {"start_router_ms": 1e3 * measure_start(fleet, name)}
    fleet.wait_ready(name)
    results["ready_router_ms"] = 1e3 * fleet.read_cpu(name)
    fleet.kill(name)
    name = f"controller-{CONTROLLERS - 1}"
    fleet.kill(name)
    results["start_controller_ms"] = 1e3 * measure_start(fleet, name)
    return results


def measure_idle(fleet: Fleet, span_s: float) -> dict[str, float]:
    """Return the processor time of idle processes, in ms per second."""
    before = {name: fleet.read_cpu(name) for name in fleet.processes}
    started = time.monotonic()
    time.sleep(span_s)
    elapsed_s = time.monotonic() - started
    used = {
        name: 1e3 * (fleet.read_cpu(name) - before[name]) / elapsed_s
        for name in before
    }
    return {
        f"idle_{role}_ms_per_s": statistics.fmean(
            value for name, value in used.items() if name.startswith(role)
        )
        for role in ("router", "controller")
    }


def measure_requests(fleet: Fleet, count: int) -> dict[str, float]:
    """Return the processor time of requests, in us."""
    caller = Caller(fleet, "router-0")
    caller.measure(WARM_UP_REQUESTS, "/idempotent/x")
    results = {
        "request_kept_us": caller.measure(count, "/idempotent/x"),
        "request_new_us": caller.measure(
            count, "/idempotent/x", is_kept=False
        ),
        "refusal_kept_us": caller.measure(count, "/none", 404),
    }
    short, long = (
        caller.measure(10, "/streaming/x", more=f"events: {events}\r\n")
        for events in EVENT_COUNTS
    )
    results["event_us"] = (long - short) / (EVENT_COUNTS[1] - EVENT_COUNTS[0])
    return {name: 1e6 * value for name, value in results.items()}


@contextmanager
def run_fleet(checkout: Path) -> Iterator[Fleet]:
    """Run a fleet in a folder that is deleted afterwards."""
    folder = Path(tempfile.mkdtemp())
    fleet = Fleet(checkout, folder)
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.stop()
        shutil.rmtree(folder, ignore_errors=True)


def measure(
    checkout: Path, starts: int, idle_s: float, requests: int
) -> list[dict[str, float]]:
    """Return the measurements of one fleet."""
    with run_fleet(checkout) as fleet:
        results = [measure_idle(fleet, idle_s)] if idle_s else []
        if requests:
            results.append(measure_requests(fleet, requests))
        results += [measure_starts(fleet) for _ in range(starts)]
    return results


def main() -> None:
    """Measure and print medians, and ratios to the baseline, as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--baseline", type=Path)
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--starts", type=int, default=3)
    parser.add_argument("--idle-s", type=float, default=10.0)
    parser.add_argument("--requests", type=int, default=1000)
    arguments = parser.parse_args()
    checkouts = {"this": Path(__file__).parents[1]}
    if arguments.baseline is not None:
        checkouts["baseline"] = arguments.baseline.absolute()
    values: dict[str, dict[str, list[float]]] = {}
    for _ in range(arguments.rounds):
        for label, checkout in checkouts.items():
            for results in measure(
                checkout,
                arguments.starts,
                arguments.idle_s,
                arguments.requests,
            ):
                for name, value in results.items():
                    known = values.setdefault(name, {})
                    known.setdefault(label, []).append(value)
    summary: dict[str, dict[str, float]] = {}
    for name, by_label in values.items():
        medians = {
            label: statistics.median(measured)
            for label, measured in by_label.items()
        }
        if "baseline" in medians:
            medians["ratio"] = medians["this"] / medians["baseline"]
        summary[name] = {
            label: round(value, 3) for label, value in medians.items()
        }
    print(json.dumps(summary, indent=1))


if __name__ == "__main__":
    main()
