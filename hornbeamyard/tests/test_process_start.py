"""Tests of how processes start, and of what may end them."""

from __future__ import annotations

import contextlib
import copy
import errno
import fcntl
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import IO, Any

import anyio
import httpcore
import logbook
import pytest

from hornbeamyard.connection.request_memory import RequestMemory
from hornbeamyard.process import listeners, servers
from hornbeamyard.process.folder_lock import lock_until
from hornbeamyard.process.metrics import Metrics
from hornbeamyard.process.timers import (
    MonotonicTimers,
    Timers,
    VirtualTimers,
)

from .fleet import find_free_port

TIMEOUT_S = 20.0
CONTROLLER_ADDRESSES = ("control", "internal", "metrics")
ROUTER_ADDRESSES = ("front", "readiness", "metrics")
# Runs the daemon with a main task that ends by an error.
FAILING_DAEMON = """
import sys
import anyio
from hornbeamyard.process import daemon, runner

async def fail(*arguments):
    async with anyio.create_task_group():
        {statement}

runner.run_with_directory = fail
daemon.main()
"""
# Runs the daemon with a standard output that is closed.
DAEMON_WITHOUT_OUTPUT = """
import os, sys
os.close(1)
os.execv(sys.executable, [sys.executable, "-m", "hornbeamyard.platform"])
"""
# Runs the daemon with few file descriptors.
DAEMON_WITH_FEW_DESCRIPTORS = """
import os, resource, sys
resource.setrlimit(resource.RLIMIT_NOFILE, (60, 60))
os.execv(sys.executable, [sys.executable, "-m", "hornbeamyard.platform"])
"""

# Runs the daemon beside a library that logs some 100 KB, more than a pipe
# holds.
DAEMON_WITH_NOISY_LIBRARY = """
import logging
from hornbeamyard.process import daemon, runner

run = runner.run_with_directory

async def log_and_run(*arguments):
    for _ in range(2000):
        logging.getLogger("library").error("a library's error, %s", 50 * "x")
    await run(*arguments)

runner.run_with_directory = log_and_run
daemon.main()
"""


class Host:
    """One process of a fleet with a route directory, on loopback.

    Attributes
    ----------
    ports : dict of str to int
        Ports by what they are for.
    settings : dict
        Written when the process starts.
    """

    def __init__(self, folder: Path, role: str) -> None:
        names = (
            CONTROLLER_ADDRESSES if role == "controller" else ROUTER_ADDRESSES
        )
        self.ports = {name: find_free_port() for name in names}
        addresses = {
            name: f"127.0.0.1:{port}" for name, port in self.ports.items()
        }
        self.settings: dict[str, Any] = {
            "fleet": "test",
            "host": "h1",
            "availability_zone": "zone-a",
            "plain_text": True,
            "directory": {
                "seeds": [
                    addresses.get("internal")
                    or f"127.0.0.1:{find_free_port()}"
                ],
                "first_start": True,
                "tolerated_hosts": 0,
                "metrics_address": addresses["metrics"],
            },
        }
        if role == "controller":
            self.settings["controller"] = {
                "address": addresses["internal"],
                "status_address": addresses["control"],
                "data_folder": "data",
            }
        else:
            self.settings["router"] = {
                "address": addresses["front"],
                "status_address": addresses["readiness"],
                "drain_s": 1,
            }
        self.data_folder = folder / "data"
        self.path = folder / "settings.json"
        self.log = folder / "log"

    def write_settings(self) -> None:
        """Write the settings file."""
        self.path.write_text(json.dumps(self.settings))

    @contextlib.contextmanager
    def run(
        self, *command: str, errors: IO[Any] | None = None
    ) -> Iterator[subprocess.Popen[bytes]]:
        """Run the process, of `hornbeamyard.platform` by default.

        Its standard error goes to the log unless `errors` is given.
        """
        self.write_settings()
        with self.log.open("wb") as stream:
            process = subprocess.Popen(
                [
                    sys.executable,
                    *(command or ("-m", "hornbeamyard.platform")),
                ],
                stdout=stream,
                stderr=errors or stream,
                env={**os.environ, "HORNBEAMYARD_CONFIG": str(self.path)},
            )
        with process:
            try:
                yield process
            finally:
                process.kill()

    def list_lines(self) -> list[dict[str, Any]]:
        """Return the complete structured lines of the log."""
        lines = self.log.read_text().split("\n")[:-1]
        return [json.loads(line) for line in lines if line.startswith("{")]

    def list_messages(self, text: str) -> list[str]:
        """Return the messages of the log that contain a text."""
        messages = [line.get("message", "") for line in self.list_lines()]
        return [message for message in messages if text in message]

    def wait_for_message(
        self, process: subprocess.Popen[bytes], text: str
    ) -> str:
        """Wait until the log has a message with a text, and return it."""
        deadline = time.monotonic() + TIMEOUT_S
        while not (messages := self.list_messages(text)):
            assert process.poll() is None, self.log.read_text()
            assert time.monotonic() < deadline, self.log.read_text()
            time.sleep(0.02)
        return messages[0]


@pytest.mark.process
class TestEnd:
    """The log tells when and why a process has started and ended."""

    @pytest.mark.parametrize(
        ("statement", "reason"),
        [
            ('raise OSError(5, "disk")', "OSError: [Errno 5] disk"),
            ("sys.exit(3)", "SystemExit: 3"),
            ("return", "ended by itself"),
        ],
    )
    def test_by_error(
        self, tmp_path: Path, statement: str, reason: str
    ) -> None:
        """Guards against an end by an error that leaves no line."""
        host = Host(tmp_path, "router")
        code = FAILING_DAEMON.format(statement=statement)
        with host.run("-c", code, str(host.path)) as process:
            assert process.wait(TIMEOUT_S) == 1
            lines = host.list_lines()
            [start] = host.list_messages("start host=")
            [stop] = host.list_messages("stop host=")
        assert f"first_start=True pid={process.pid} seeds=['" in start
        assert stop == f"stop host=h1 reason={reason}"
        assert lines[-1]["message"] == stop
        assert ("traceback" in lines[-1]) is (statement != "return")

    @pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
    @pytest.mark.parametrize("role", ["controller", "router"])
    def test_by_signal(
        self, tmp_path: Path, role: str, number: signal.Signals
    ) -> None:
        """Guards against a signal during the start that leaves no line."""
        host = Host(tmp_path, role)
        with host.run() as process:
            host.wait_for_message(process, "start host=")
            process.send_signal(number)
            assert process.wait(TIMEOUT_S) == 0
        [stop] = host.list_messages("stop host=")
        assert stop == f"stop host=h1 reason={number.name}"

    def test_by_settings(self, tmp_path: Path) -> None:
        """Guards against invalid settings without a clear message."""
        host = Host(tmp_path, "router")
        host.settings["router"]["address"] = "front"
        with host.run() as process:
            assert process.wait(TIMEOUT_S) == 2
        assert "router.address" in host.log.read_text()

    @pytest.mark.parametrize("role", ["controller", "router"])
    def test_without_output(self, tmp_path: Path, role: str) -> None:
        """Guards against a fault of the log writer without its stream."""
        host = Host(tmp_path, role)
        with host.run("-c", DAEMON_WITHOUT_OUTPUT) as process:
            deadline = time.monotonic() + TIMEOUT_S
            for port in host.ports.values():
                while not is_listening(port):
                    assert process.poll() is None
                    assert time.monotonic() < deadline
                    time.sleep(0.02)
            process.terminate()
            assert process.wait(TIMEOUT_S) == 0
        assert host.log.read_text() == ""

    @pytest.mark.parametrize("role", ["controller", "router"])
    def test_without_descriptors(self, tmp_path: Path, role: str) -> None:
        """Guards against a process that only logs failed accepts."""
        host = Host(tmp_path, role)
        code = DAEMON_WITH_FEW_DESCRIPTORS
        with host.run("-c", code) as process, contextlib.ExitStack() as stack:
            for port in host.ports.values():
                text = f"listening on 127.0.0.1:{port}"
                host.wait_for_message(process, text)
            for _ in range(60):
                for port in host.ports.values():
                    connection = stack.enter_context(socket.socket())
                    connection.connect_ex(("127.0.0.1", port))
            time.sleep(2.5)
            assert process.poll() is None
            stack.close()
            started_at = time.monotonic()
            process.terminate()
            assert process.wait(TIMEOUT_S) == 0
            assert time.monotonic() - started_at < 5
        text = host.log.read_text()
        assert 0 < text.count("can't accept connections") < 50
        assert "out of system resource" not in text

    @pytest.mark.parametrize("role", ["controller", "router"])
    def test_with_full_error_output(self, tmp_path: Path, role: str) -> None:
        """Guards against a process that stands still to write an error."""
        host = Host(tmp_path, role)
        command = ("-c", DAEMON_WITH_NOISY_LIBRARY, str(host.path))
        reader, writer = os.pipe()
        with (
            os.fdopen(reader),
            os.fdopen(writer) as errors,
            host.run(*command, errors=errors) as process,
        ):
            for name in (
                "metrics",
                "internal" if role == "controller" else "front",
            ):
                text = f"listening on 127.0.0.1:{host.ports[name]}"
                host.wait_for_message(process, text)
            process.terminate()
            assert process.wait(TIMEOUT_S) == 0
        assert len(host.list_messages("a library's error")) == 2000


class NativeHost(Host):
    """One process of a fleet without a route directory, with both roles."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder, "controller")
        self.ports["front"] = find_free_port()
        internal = f"127.0.0.1:{self.ports['internal']}"
        self.settings = {
            "fleet": "test",
            "host": "h1",
            "availability_zone": "zone-a",
            "plain_text": True,
            "controllers": {"h1": internal},
            "controller": {"address": internal, "data_folder": "data"},
            "router": {
                "address": f"127.0.0.1:{self.ports['front']}",
                "drain_s": 0.1,
            },
        }

    def list_messages(self, text: str) -> list[str]:
        """Return the complete lines of the log that contain a text."""
        lines = self.log.read_text().split("\n")[:-1]
        return [line for line in lines if text in line]


@contextlib.contextmanager
def hold_address(port: int) -> Iterator[socket.socket]:
    """Listen on an address on loopback, as another process might."""
    with socket.socket() as holder:
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind(("127.0.0.1", port))
        holder.listen()
        yield holder


def is_listening(port: int) -> bool:
    """Return whether a connection to an address on loopback is accepted."""
    with socket.socket() as probe:
        return probe.connect_ex(("127.0.0.1", port)) == 0


ADDRESSES = [("controller", name) for name in CONTROLLER_ADDRESSES]
ADDRESSES += [("router", name) for name in ROUTER_ADDRESSES]


@pytest.mark.process
class TestTakenAddress:
    """A process waits for an address that can't be bound."""

    @pytest.mark.parametrize(("role", "name"), ADDRESSES)
    def test_is_bound_later(
        self, tmp_path: Path, role: str, name: str
    ) -> None:
        """Guards against an end by an address that is still taken."""
        host = Host(tmp_path, role)
        taken = f"listen on 127.0.0.1:{host.ports[name]}"
        with hold_address(host.ports[name]) as holder, host.run() as process:
            host.wait_for_message(process, f"can't {taken}")
            for port in host.ports.values():
                if port != host.ports[name]:
                    text = f"listening on 127.0.0.1:{port}"
                    host.wait_for_message(process, text)
            if role == "controller":
                assert list(host.data_folder.iterdir())
            if name in ("control", "metrics") and role == "controller":
                host.wait_for_message(process, "founded the cluster")
            time.sleep(0.3)
            assert len(host.list_messages(taken)) == 1
            assert not host.list_messages(f"listening on {taken[10:]}")
            holder.close()
            host.wait_for_message(process, f"listening on {taken[10:]}")
            assert is_listening(host.ports[name])
            if role == "controller":
                host.wait_for_message(process, "founded the cluster")
            process.terminate()
            assert process.wait(TIMEOUT_S) == 0
        [stop] = host.list_messages("stop host=")
        assert stop.endswith("reason=SIGTERM")

    @pytest.mark.parametrize(("role", "name"), ADDRESSES)
    def test_stops_while_taken(
        self, tmp_path: Path, role: str, name: str
    ) -> None:
        """Guards against a process that can't be stopped while it waits."""
        host = Host(tmp_path, role)
        with hold_address(host.ports[name]), host.run() as process:
            host.wait_for_message(process, "can't listen on")
            started_at = time.monotonic()
            process.terminate()
            assert process.wait(TIMEOUT_S) == 0
            assert time.monotonic() - started_at < 5
        assert len(host.list_messages("stop host=")) == 1

    @pytest.mark.parametrize("role", ["controller", "router"])
    def test_without_interface(self, tmp_path: Path, role: str) -> None:
        """Guards against an end by an address that no interface has yet."""
        host = Host(tmp_path, role)
        section = host.settings[role]
        host.settings["directory"]["metrics_address"] = "192.0.2.1:9001"
        section["status_address"] = "192.0.2.1:9002"
        section["address"] = "192.0.2.1:9003"
        with host.run() as process:
            for port in (9001, 9002, 9003):
                text = f"can't listen on 192.0.2.1:{port}"
                assert "Cannot assign" in host.wait_for_message(process, text)
            process.terminate()
            assert process.wait(TIMEOUT_S) == 0

    @pytest.mark.parametrize("name", ["internal", "front"])
    def test_without_directory(self, tmp_path: Path, name: str) -> None:
        """Guards against the same end in a fleet without a directory."""
        host = NativeHost(tmp_path)
        port = host.ports[name]
        command = ("-m", "hornbeamyard.process.daemon", str(host.path))
        other = host.ports["front" if name == "internal" else "internal"]
        with hold_address(port) as holder, host.run(*command) as process:
            host.wait_for_message(process, f"can't listen on 127.0.0.1:{port}")
            host.wait_for_message(process, f"listening on 127.0.0.1:{other}")
            assert list(host.data_folder.iterdir())
            holder.close()
            host.wait_for_message(process, f"listening on 127.0.0.1:{port}")
            assert is_listening(port)
            process.terminate()
            assert process.wait(TIMEOUT_S) == 0
        assert len(host.list_messages("stop host=h1 reason=SIGTERM")) == 1

    def test_without_directory_stops(self, tmp_path: Path) -> None:
        """Guards against a wait that a signal doesn't end."""
        host = NativeHost(tmp_path)
        command = ("-m", "hornbeamyard.process.daemon", str(host.path))
        front, internal = host.ports["front"], host.ports["internal"]
        with (
            hold_address(front),
            hold_address(internal),
            host.run(*command) as process,
        ):
            for port in (front, internal):
                text = f"can't listen on 127.0.0.1:{port}"
                host.wait_for_message(process, text)
            process.terminate()
            assert process.wait(TIMEOUT_S) == 0


@pytest.mark.process
class TestSharedFolder:
    """A process waits until no other one uses its data folder."""

    def test_second_process(self, tmp_path: Path) -> None:
        """Guards against a loss of what the process before acknowledged."""
        host = Host(tmp_path, "controller")
        second = copy.copy(host)
        second.log = tmp_path / "log-2"
        with host.run() as process:
            host.wait_for_message(process, "founded the cluster")
            submit(host, 1)
            with second.run() as successor:
                second.wait_for_message(successor, "start host=")
                time.sleep(1.5)
                submit(host, 2)
                process.kill()
                process.wait(TIMEOUT_S)
                assert read_version(second) == 2
                submit(second, 3)
            assert not second.list_messages("damaged")
        with host.run():
            assert read_version(host) == 3

    def test_stops_while_in_use(self, tmp_path: Path) -> None:
        """Guards against a process that can't be stopped while it waits."""
        host = Host(tmp_path, "controller")
        second = copy.copy(host)
        second.log = tmp_path / "log-2"
        with host.run() as process, second.run() as successor:
            waiting = [process, successor]
            text = "another process uses the data folder"
            deadline = time.monotonic() + TIMEOUT_S
            while not (host.list_messages(text) or second.list_messages(text)):
                assert time.monotonic() < deadline
                time.sleep(0.02)
            if host.list_messages(text):
                waiting.reverse()
            waiting[1].terminate()
            assert waiting[1].wait(TIMEOUT_S) == 0
            assert waiting[0].poll() is None

    def test_without_directory(self, tmp_path: Path) -> None:
        """Guards against the same in a fleet without a route directory."""
        host = NativeHost(tmp_path)
        host.data_folder.mkdir()
        command = ("-m", "hornbeamyard.process.daemon", str(host.path))
        text = "another process uses the data folder"
        descriptor = os.open(host.data_folder, os.O_RDONLY)
        fcntl.flock(descriptor, fcntl.LOCK_EX)
        with host.run(*command) as process:
            host.wait_for_message(process, text)
            process.terminate()
            assert process.wait(TIMEOUT_S) == 0
        assert not list(host.data_folder.iterdir())
        with host.run(*command) as process:
            host.wait_for_message(process, text)
            os.close(descriptor)
            for name in ("internal", "front"):
                port = host.ports[name]
                text = f"listening on 127.0.0.1:{port}"
                host.wait_for_message(process, text)

    @pytest.mark.parametrize("fault", ["no locks", "no folder"])
    def test_without_locks(
        self, tmp_path: Path, fault: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a process that waits where no lock is possible."""
        folder = tmp_path / "data"
        if fault == "no folder":
            folder.write_text("a file")

        def fail(descriptor: int, operation: int) -> None:
            raise OSError(errno.ENOLCK, "no locks")

        monkeypatch.setattr(fcntl, "flock", fail)

        async def run() -> None:
            stop = anyio.Event()
            timers = VirtualTimers()
            async with lock_until(stop, folder, timers) as may_use:
                assert may_use

        with logbook.TestHandler() as log:
            anyio.run(run)
        [record] = log.records
        assert "can't be locked" in record.message


def submit(host: Host, version: int) -> None:
    """Submit a configuration until it is acknowledged."""
    document = {"version": version, "routes": [], "services": []}
    path = "/Configuration.Replace"
    body = json.dumps(document).encode()
    call_controller(host, "POST", path, body)


def read_version(host: Host) -> int:
    """Return the version that is read back."""
    body = call_controller(host, "GET", "/Configuration.Read")
    return int(json.loads(body)["version"])


def call_controller(
    host: Host, method: str, path: str, body: bytes = b""
) -> bytes:
    """Call a controller until it responds with success."""
    url = f"http://127.0.0.1:{host.ports['control']}{path}"
    deadline = time.monotonic() + TIMEOUT_S
    while True:
        try:
            response = httpcore.request(method, url, content=body)
        except (httpcore.NetworkError, httpcore.ProtocolError):
            response = None
        if response is not None and response.status == 200:
            return response.content
        assert time.monotonic() < deadline, host.log.read_text()
        time.sleep(0.05)


class TestListeners:
    """Sockets of the HTTP servers."""

    @pytest.mark.parametrize(
        ("host", "family"),
        [("127.0.0.1", socket.AF_INET), ("[::1]", socket.AF_INET6)],
    )
    def test_options(self, host: str, family: socket.AddressFamily) -> None:
        """Guards against a socket that blocks or delays small packets."""
        address = f"{host}:{find_free_port()}"
        with listeners.bind_and_listen(address) as listener:
            assert listener.family == family
            # asyncio sets TCP_NODELAY only for this protocol.
            assert listener.proto == socket.IPPROTO_TCP
            assert not listener.getblocking()
            with pytest.raises(OSError, match="in use"):
                listeners.bind_and_listen(address)

    def test_bound_by_two(self) -> None:
        """Guards against an end when another socket listens first."""
        address = f"127.0.0.1:{find_free_port()}"
        with (
            listeners.bind(address) as first,
            listeners.bind_and_listen(address),
        ):
            with pytest.raises(OSError, match="in use"):
                first.listen()
            with pytest.raises(OSError, match="in use"):
                listeners.bind_and_listen(address)

    def test_logs_at_interval(self) -> None:
        """Guards against a wait without lines, and against a line a try."""
        address = f"127.0.0.1:{find_free_port()}"

        async def run() -> None:
            timers = VirtualTimers()
            async with anyio.create_task_group() as tasks:
                with listeners.bind_and_listen(address):
                    tasks.start_soon(listeners.listen, address, "x", timers)
                    await timers.advance(2.5 * listeners.LOG_INTERVAL_S)
                await timers.advance(2 * listeners.RETRY_INTERVAL_S)

        with logbook.TestHandler() as log:
            anyio.run(run)
        messages = [record.message for record in log.records]
        assert len(messages) == 4
        for message in messages[:3]:
            assert message.startswith(f"can't listen on {address} for x yet")
            assert "in use" in message
        assert messages[3] == f"listening on {address} for x"

    def test_server_that_fails(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a process that ends with one of its servers."""
        address = f"127.0.0.1:{find_free_port()}"
        built: list[str] = []

        class FailingServer:
            async def serve(self, sockets: list[socket.socket]) -> None:
                raise OSError("no descriptors")

        def build(
            app: object, address: str, protocol: object
        ) -> FailingServer:
            built.append(address)
            return FailingServer()

        monkeypatch.setattr(listeners, "build_server", build)

        async def run() -> None:
            timers = VirtualTimers()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(serve, None, address, timers)
                await timers.advance(2.5 * listeners.RESTART_DELAY_S)
                tasks.cancel_scope.cancel()

        with logbook.TestHandler() as log:
            anyio.run(run)
        assert built == [address] * 3
        failed = [r for r in log.records if "has failed" in r.message]
        assert len(failed) == 3

    def test_attempts_without_descriptors(self) -> None:
        """Guards against failed accepts whose number multiplies."""
        attempts: list[float] = []

        class FailingListener(socket.socket):
            def accept(self) -> Any:
                attempts.append(time.monotonic())
                # As long as a log line takes on a busy host.
                time.sleep(0.002)
                raise OSError(errno.EMFILE, "Too many open files")

        async def run() -> None:
            address = ("127.0.0.1", find_free_port())
            server = servers.build_server(
                servers.build_status_app(Metrics()), "127.0.0.1:0"
            )
            with (
                FailingListener(
                    socket.AF_INET, socket.SOCK_STREAM
                ) as listener,
                socket.socket() as waiting,
            ):
                listener.setblocking(False)
                listener.bind(address)
                listener.listen()
                waiting.connect(address)
                with anyio.move_on_after(3.5):
                    await server.serve([listener])

        anyio.run(run)
        assert 2 <= len(attempts) <= 5

    def test_server_without_listener(self) -> None:
        """Guards against a server that doesn't listen at its own address."""
        address = f"127.0.0.1:{find_free_port()}"

        async def run() -> None:
            app = servers.build_status_app(Metrics())
            server = servers.build_server(app, address)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.serve)
                assert await ask_for_metrics(address) == 200
                server.should_exit = True

        anyio.run(run)

    def test_blocking_listener(self) -> None:
        """Guards against a server that stands still until someone connects."""

        async def run() -> None:
            server = servers.build_server(
                servers.build_status_app(Metrics()), "127.0.0.1:0"
            )
            with socket.create_server(("127.0.0.1", 0)) as listener:
                address = f"127.0.0.1:{listener.getsockname()[1]}"
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(server.serve, [listener])
                    assert await ask_for_metrics(address) == 200
                    tasks.cancel_scope.cancel()

        started_at = time.monotonic()
        anyio.run(run)
        assert time.monotonic() - started_at < TIMEOUT_S

    @pytest.mark.parametrize("end", ["cancelled", "failed"])
    def test_server_with_the_descriptor_of_another(
        self, end: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a server that never accepts a connection."""

        async def fail(server: servers.EmbeddedServer) -> None:
            monkeypatch.undo()
            raise OSError("no descriptors")

        async def run() -> None:
            timers = MonotonicTimers()
            app = servers.build_status_app(Metrics())
            if end == "cancelled":
                async with anyio.create_task_group() as tasks:
                    other = f"127.0.0.1:{find_free_port()}"
                    tasks.start_soon(serve, app, other, timers)
                    await ask_for_metrics(other)
                    tasks.cancel_scope.cancel()
            else:
                monkeypatch.setattr(servers.EmbeddedServer, "main_loop", fail)
            address = f"127.0.0.1:{find_free_port()}"
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(serve, app, address, timers)
                await anyio.sleep(2 * listeners.RESTART_DELAY_S)
                assert await ask_for_metrics(address) == 200
                tasks.cancel_scope.cancel()

        anyio.run(run)


async def serve(app: Any, address: str, timers: Timers) -> None:
    """Serve an application with the limits of a status address."""
    limits = servers.build_status_limits(RequestMemory(), timers, 1024)
    await listeners.serve(app, address, "x", timers, limits)


async def ask_for_metrics(address: str) -> int:
    """Return the status of a server's response, once it listens."""
    with anyio.fail_after(TIMEOUT_S):
        while True:
            try:
                async with httpcore.AsyncConnectionPool() as client:
                    response = await client.request(
                        "GET", f"http://{address}/metrics"
                    )
            except httpcore.NetworkError:
                await anyio.sleep(0.05)
            else:
                return response.status
