"""The check of a routing document before it is submitted."""

from __future__ import annotations

import copy
import json
import socket
import threading
import time
import tracemalloc
from collections.abc import Iterator
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, HTTPServer
from pathlib import Path
from typing import Any

import jsonpatch
import pytest
from click.testing import CliRunner, Result

from hornbeamyard.platform.calls import READ_CONFIGURATION
from hornbeamyard.platform.checking import FORMAT as PLATFORM_FORMAT
from hornbeamyard.process.commands import main
from hornbeamyard.process.controller_app import ROUTING_PATH
from hornbeamyard.process.documents import MAX_BODY_BYTES
from hornbeamyard.version.differences import build_patch, describe_differences
from hornbeamyard.version.lint import NATIVE_FORMAT, Format, check_routing

from .fleet import find_free_port
from .test_platform import CONFIGURATION
from .test_routing import DOCUMENT, change


def list_warnings(
    document: Any, format: Format = NATIVE_FORMAT
) -> list[tuple[str, int | None]]:
    """Return place and line of each warning; each list item has a line."""
    report = check_routing(json.dumps(document, indent=1).encode(), format)
    assert report.errors == []
    return [(finding.key_path, finding.line) for finding in report.warnings]


class TestWarnings:
    """Warnings name what is accepted but can have no effect."""

    @pytest.mark.parametrize(
        ("place", "value"),
        [
            ("routes.1.path_prefix", "chat/"),
            ("routes.1.path_prefix", "/a?b"),
            ("routes.1.path_prefix", "/a b"),
            ("routes.1.path_prefix", "/caf\u00e9"),
            ("routes.1.host", "a.example:80"),
            ("routes.1.host", " a.example"),
            ("routes.1.host", "\u017e.example"),
            ("routes.0.target_ms", 12001),
            ("routes.0.longest_gap_ms", 12001),
            ("routes.0.shares.0.weight", 0),
            ("pools.1.cold_rate", 6.9),
            ("client_accounts.0.keys", []),
            ("client_accounts.0.keys.1", "k1"),
            ("limits.header_size", 9),
        ],
    )
    def test_ineffective_value(self, place: str, value: Any) -> None:
        """Guards against a contradiction that isn't reported, or twice."""
        base = change(limits={"header_size": 8, "body_size": 8})
        base["routes"][0]["shares"].append({"pool": "model"})
        assert list_warnings(base) == []
        path = "/" + place.replace(".", "/")
        patch = [{"op": "add", "path": path, "value": value}]
        document = jsonpatch.apply_patch(base, patch)
        assert [where for where, _ in list_warnings(document)] == [place]

    @pytest.mark.parametrize(
        ("key_path", "value"),
        [
            ("routes__1__path_prefix", "*"),
            ("routes__1__host", "[::1]"),
            # The Kelvin sign, of which the lower case is an ASCII letter.
            ("routes__1__host", "\u212a.example"),
            ("routes__0__target_ms", 12000),
            ("limits", {"body_size": 1000}),
        ],
    )
    def test_effective_value(self, key_path: str, value: Any) -> None:
        """Guards against a warning where it isn't certain."""
        assert list_warnings(change(**{key_path: value})) == []

    def test_attempts_beyond_time_limit(self) -> None:
        """Guards against attempts for which no time is ever left."""
        document = change(routes__2__most_attempts=2)
        assert list_warnings(document) == []
        document["routes"][2]["timeout_ms"] = 99
        assert [place for place, _ in list_warnings(document)] == [
            "routes.2.most_attempts"
        ]

    def test_unused_entries(self) -> None:
        """Guards against pools and accounts that look used."""
        document = change(pools__1__name="other")
        document["routes"] = document["routes"][:2]
        for route in document["routes"]:
            route["public"] = True
        assert [place for place, _ in list_warnings(document)] == [
            "pools.1",
            "client_accounts.0",
            "client_accounts.1",
        ]

    def test_places_on_platform(self) -> None:
        """Guards against positions of the translated document."""
        document = copy.deepcopy(CONFIGURATION)
        document["routes"][0]["targetLatencyMs"] = 9001
        # It gets no requests beside the split, but isn't a share of its own.
        document["routes"][0]["service"] = "s1"
        document["services"][0]["coldPerS"] = 1
        text = json.dumps(document, indent=1).split("\n")
        lines = [
            next(n for n, line in enumerate(text, 1) if name in line)
            for name in ("targetLatencyMs", "coldPerS")
        ]
        assert list_warnings(document, PLATFORM_FORMAT) == [
            ("routes.0.target_ms", lines[0]),
            ("pools.0.cold_rate", lines[1]),
        ]


class TestDifferences:
    """Differences are readable and don't show keys."""

    def test_patch_leads_to_the_other_document(self) -> None:
        """Guards against a JSON Patch that describes another change."""
        changed = change(routes__0__priority=3, pools__1__name="x")
        del changed["routes"][1], changed["client_accounts"]
        before = {**DOCUMENT, "client_accounts": []}
        patch = build_patch(before, changed, ["keys"])
        assert jsonpatch.apply_patch(before, patch) == changed

    def test_order_has_no_effect(self) -> None:
        """Guards against differences of lists that mean the same."""
        changed = change(routes__0__timeout_ms=9000)
        changed["routes"].reverse()
        assert describe_differences(DOCUMENT, changed, ["keys"]) == [
            "~ routes.chat.timeout_ms: 12000 -> 9000"
        ]

    def test_keys_are_hidden(self) -> None:
        """Guards against keys of callers on a terminal or in a log."""
        changed = change(client_accounts__0__keys=["secret-key"])
        del changed["client_accounts"][1]
        shown = str(describe_differences(DOCUMENT, changed, ["keys"]))
        shown += str(build_patch(DOCUMENT, changed, ["keys"]))
        assert "sha256" in shown
        assert not any(key in shown for key in ("secret-key", "'k", '"k1'))


class Controller(BaseHTTPRequestHandler):
    """Answers reads of the routing."""

    replies: dict[str, tuple[int, bytes]]

    def do_GET(self) -> None:
        status, content = self.replies.get(self.path, (404, b"{}"))
        self.send_response(status)
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)

    def log_message(self, format: str, *arguments: Any) -> None:
        """Keep the test's output empty."""


@pytest.fixture
def controller() -> Iterator[HTTPServer]:
    """Run a stand-in of a controller's administration interface."""
    with HTTPServer(("127.0.0.1", 0), Controller) as server:
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        yield server
        server.shutdown()
        thread.join()


class TestCommand:
    """The command `hornbeamyard config check`."""

    def run(self, folder: Path, document: Any, *options: str) -> Result:
        file = folder / "routing.json"
        file.write_text(
            document if isinstance(document, str) else json.dumps(document)
        )
        arguments = ["config", "check", str(file), *options]
        return CliRunner().invoke(main, arguments)

    def test_exit_codes(self, tmp_path: Path) -> None:
        """Guards against a script that submits what will be refused."""
        dubious = change(routes__0__target_ms=20000)
        assert self.run(tmp_path, DOCUMENT, "--strict").exit_code == 0
        assert self.run(tmp_path, dubious).exit_code == 0
        assert self.run(tmp_path, dubious, "--strict").exit_code == 1
        assert self.run(tmp_path, change(version=0)).exit_code == 2
        assert self.run(tmp_path, "{").exit_code == 2
        missing = str(tmp_path / "missing")
        done = self.run(tmp_path, DOCUMENT, "--against", missing)
        assert done.exit_code == 2
        assert "No such file" in done.stderr

    @pytest.mark.parametrize(
        ("text", "place"),
        [
            ('{"version": 1,\n "routes" []}', "line 2, column 11: document"),
            (
                '{"version": 1, "pools": [{"name": "p",\n  "slots": -1}],'
                '"routes": []}',
                "line 2, column 3: pools.0.slots",
            ),
            # The object without the key is the nearest place.
            ('\n {"version": 1, "pools": []}', "line 2, column 2: routes"),
        ],
    )
    def test_error_positions(
        self, tmp_path: Path, text: str, place: str
    ) -> None:
        """Guards against errors that must be searched for."""
        assert f"error: {place}" in self.run(tmp_path, text).stderr

    @pytest.mark.parametrize("option", ["native", "platform"])
    def test_against_controller(
        self, tmp_path: Path, controller: HTTPServer, option: str
    ) -> None:
        """Guards against a comparison with another version, or none."""
        path, document = ROUTING_PATH, DOCUMENT
        if option == "platform":
            path, document = READ_CONFIGURATION[1], CONFIGURATION
        in_force = json.dumps({**document, "version": 20}).encode()
        Controller.replies = {path: (200, in_force)}
        address = f"127.0.0.1:{controller.server_port}"
        options = ["--json", "--format", option, "--against", address]
        shown = json.loads(self.run(tmp_path, document, *options).stdout)
        version = document["version"]
        assert shown["differences"] == [
            {"op": "replace", "path": "/version", "value": version}
        ]
        assert [w["place"] for w in shown["warnings"]] == ["version"]
        document = {**document, "version": 20}
        shown = json.loads(self.run(tmp_path, document, *options).stdout)
        assert (shown["differences"], shown["warnings"]) == ([], [])
        for name in ("tenants", "client_accounts"):
            document.pop(name, None)
        shown = self.run(tmp_path, document, *options[1:])
        assert "sha256" in shown.stdout
        assert "k1" not in shown.stdout
        assert '"a"' not in shown.stdout

    @pytest.mark.parametrize(
        ("pieces", "message"),
        [
            ([b"a" * 1024 * 1024] * 160, "exceeds 16777216 bytes"),
            ([b"a"] * 30, "no complete response within 0.5 s"),
        ],
        ids=["large", "slow"],
    )
    def test_answer_without_end(
        self, tmp_path: Path, pieces: list[bytes], message: str
    ) -> None:
        """Guards against a command that never ends or takes all memory."""
        listener = socket.create_server(("127.0.0.1", 0))

        def answer() -> None:
            connection, _ = listener.accept()
            with connection, suppress(OSError):
                connection.recv(4096)
                connection.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
                for piece in pieces:
                    connection.sendall(piece)
                    if len(piece) == 1:
                        time.sleep(0.1)

        thread = threading.Thread(target=answer)
        thread.start()
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        options = ["--against", address]
        if len(pieces[0]) == 1:
            options += ["--timeout", "0.5"]
        tracemalloc.start()
        try:
            done = self.run(tmp_path, DOCUMENT, *options)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
            thread.join()
            listener.close()
        assert done.exit_code == 3
        assert message in done.stderr
        assert peak < 3 * MAX_BODY_BYTES

    @pytest.mark.parametrize(
        ("reply", "message"),
        [
            (None, "can't be reached"),
            ((503, b"{}"), "no routing that a leader confirms"),
            ((404, b"{}"), "answered 404"),
            ((200, b"{"), "is not JSON"),
        ],
    )
    def test_no_answer(
        self,
        tmp_path: Path,
        controller: HTTPServer,
        reply: tuple[int, bytes] | None,
        message: str,
    ) -> None:
        """Guards against a failed comparison that looks like no change."""
        port = controller.server_port if reply else find_free_port()
        Controller.replies = {ROUTING_PATH: reply} if reply else {}
        options = ["--against", f"127.0.0.1:{port}"]
        done = self.run(tmp_path, DOCUMENT, *options)
        assert done.exit_code == 3
        assert message in done.stderr
        assert "is valid" in done.stdout
        assert "no differences" not in done.stdout
        assert self.run(tmp_path, change(version=0), *options).exit_code == 2
