"""The command-line tool against a fleet of real processes."""

from __future__ import annotations

import json
import re
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import httpcore
import pytest
from click.testing import CliRunner, Result

from hornbeamyard.process.commands import main
from hornbeamyard.process.tables import format_diff, format_table
from hornbeamyard.version.configuration import hash_key

from .fleet import CALLER_KEY_PREFIX, UPSTREAM_KEY, LocalFleet
from .lossy_relay import LossyRelay

POOL = "visitor-assistant"
OPERATOR_KEY = "operator-key-of-ana"


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[LocalFleet]:
    """Run one controller, two routers and a fake upstream."""
    folder: Path = tmp_path_factory.mktemp("fleet")
    with LocalFleet(folder) as local:
        local.start()
        document = local.build_document({POOL: "model"})
        document["operators"] = {"ana": {"keys": [hash_key(OPERATOR_KEY)]}}
        local.configure(document)
        local.start_upstream(f"{POOL}-0", POOL)
        send_request(local)
        yield local


def send_request(
    fleet: LocalFleet, key: str = f"{CALLER_KEY_PREFIX}hotel"
) -> int:
    """Send one completion to the first router; return its status."""
    return httpcore.request(
        "POST",
        f"http://127.0.0.1:{fleet.router_ports[0]}/v1/chat/completions",
        headers={"authorization": f"Bearer {key}"},
        content=json.dumps({"model": POOL, "max_tokens": 2}).encode(),
        extensions={"timeout": {"read": 20.0}},
    ).status


def run(fleet: LocalFleet, *arguments: object, host: int = 0) -> Result:
    """Run a command with the settings of one host."""
    texts = [str(argument) for argument in arguments]
    settings = f"--settings={fleet.folder / f'host-{host}.json'}"
    return CliRunner().invoke(main, [*texts, settings])


def run_json(fleet: LocalFleet, *arguments: object) -> Any:
    """Return what a command prints with `--json`."""
    done = run(fleet, *arguments, "--json")
    assert done.exit_code == 0, done.stderr
    return json.loads(done.stdout)


def write_patch(fleet: LocalFleet, *operations: dict[str, Any]) -> Path:
    """Write a JSON Patch into a file."""
    path = fleet.folder / "change.json"
    path.write_text(json.dumps(operations))
    return path


def write_settings(local: LocalFleet, number: int, **changes: Any) -> None:
    """Write settings of a further host, based on those of host 1."""
    document = json.loads((local.folder / "host-1.json").read_text())
    path = local.folder / f"host-{number}.json"
    path.write_text(json.dumps({**document, **changes}))


def set_share(share: object) -> dict[str, Any]:
    """Return the operation that sets the share of one account."""
    path = "/client_accounts/hotel/share"
    return {"op": "replace", "path": path, "value": share}


@pytest.mark.process
class TestViews:
    """Tables and JSON of the fleet's state."""

    def test_status_lists_routers_and_pools(self, fleet: LocalFleet) -> None:
        """Guards against a status that lacks a router, version or pool."""
        document = run_json(fleet, "status")
        version = document["version"]
        assert document["leader"] == f"127.0.0.1:{fleet.controller_ports[0]}"
        assert document["routers"] == [
            {"host": f"host-{number}", "version_in_force": version}
            for number in range(2)
        ]
        (pool,) = document["pools"]
        assert pool["pool"] == POOL
        assert pool["slots"] == 8
        assert pool["contended"] is False
        text = run(fleet, "status").stdout
        assert re.search(r"HOST +VERSION IN FORCE\nhost-0 +\d+\n", text)
        assert re.search(rf"{POOL} +no +8 +\d+ +\d+ +0", text)

    def test_accounts_show_service(self, fleet: LocalFleet) -> None:
        """Guards against accounts that are listed without their service."""
        deadline = time.monotonic() + 5
        while True:
            (row,) = run_json(fleet, "accounts")["accounts"]
            if row["service_s"] > 0 or time.monotonic() > deadline:
                break
        assert (row["account"], row["pool"]) == ("hotel", POOL)
        assert row["service_s"] > 0
        assert "ACCOUNT" in run(fleet, "accounts").stdout

    def test_workers_show_slots(self, fleet: LocalFleet) -> None:
        """Guards against upstreams that are missing or lack slots."""
        (row,) = run_json(fleet, "workers")["workers"]
        assert row["worker"] == f"{POOL}-0"
        assert (row["slots"], row["leaving"]) == (8, False)
        assert 0 <= row["held"] <= 8
        assert re.search(
            rf"{POOL}-0 +{POOL} +centro +8 +\d+ +no",
            run(fleet, "workers").stdout,
        )

    def test_show_shortens_hashes(self, fleet: LocalFleet) -> None:
        """Guards against printing whole key hashes."""
        done = run(fleet, "config", "show")
        hashed = hash_key(f"{CALLER_KEY_PREFIX}hotel")
        assert f"{hashed[:8]}..." in done.stdout
        assert hashed not in done.stdout


@pytest.mark.process
class TestMetrics:
    """The metrics of a running router."""

    @pytest.mark.requirement("R19")
    def test_counts_requests_and_control(self, fleet: LocalFleet) -> None:
        """Guards against metrics that are exported but never updated."""
        assert send_request(fleet) == 200
        url = f"http://127.0.0.1:{fleet.router_ports[0]}/metrics"
        text = httpcore.request("GET", url).content.decode()
        values = dict(line.rsplit(" ", 1) for line in text.splitlines())
        prefix = "hornbeamyard_"
        answered = '{client_account="hotel",outcome="answered",priority='
        found = [
            float(value)
            for name, value in values.items()
            if name.startswith(f"{prefix}requests_total{answered}")
        ]
        assert sum(found) >= 1
        assert 1.5 < float(values[f"{prefix}lease_seconds"]) <= 3
        assert float(values[f"{prefix}attached"]) == 1
        assert float(values[f"{prefix}version_in_force"]) >= 1
        for direction in ("sent", "received"):
            name = f'control_bytes_total{{direction="{direction}"}}'
            assert float(values[prefix + name]) > 0


@pytest.mark.process
class TestPatch:
    """Patches from the command line."""

    @pytest.mark.requirement("R8")
    def test_accepts_and_waits(self, fleet: LocalFleet) -> None:
        """Guards against `wait` returning before all routers report it."""
        patch = write_patch(fleet, set_share(2))
        before = run_json(fleet, "config", "show")["version"]
        done = run(fleet, "config", "patch", patch)
        assert done.exit_code == 0, done.stderr
        assert '-      "share": 1' in done.stdout
        assert '+      "share": 2' in done.stdout
        assert f"accepted as version {before + 1}" in done.stdout
        routers = run_json(fleet, "config", "wait", before + 1)["routers"]
        assert [r["version_in_force"] for r in routers] == [before + 1] * 2

    @pytest.mark.requirement("R13")
    def test_same_id_is_applied_once(self, fleet: LocalFleet) -> None:
        """Guards against a repeated patch that is applied twice."""
        patch = write_patch(fleet, set_share(3))
        base = run_json(fleet, "config", "show")["version"]
        arguments = ("config", "patch", patch, "--id=once", "--base", base)
        first = run_json(fleet, *arguments)
        assert first == run_json(fleet, *arguments)
        assert first["outcome"] == "accepted"
        assert run_json(fleet, "config", "show")["version"] == base + 1

    @pytest.mark.requirement("R13")
    def test_refuses_old_base(self, fleet: LocalFleet) -> None:
        """Guards against a patch overwriting an unseen change."""
        patch = write_patch(fleet, set_share(4))
        done = run(fleet, "config", "patch", patch, "--base=0")
        assert done.exit_code == 1
        assert "refused: version 0 is outdated; the current" in done.stdout

    def test_history_names_operator(self, fleet: LocalFleet) -> None:
        """Guards against a history without the operators of changes."""
        patch = write_patch(fleet, set_share(7))
        done = run_json(
            fleet, "config", "patch", patch, "--operator=ana", "--id=raise-7"
        )
        (entry,) = run_json(fleet, "config", "history", "--limit=1")["history"]
        assert entry["version"] == done["version"]
        assert (entry["operator"], entry["patch_id"]) == ("ana", "raise-7")
        assert entry["operations"] == "replace /client_accounts/hotel/share"
        text = run(fleet, "config", "history").stdout
        assert text.splitlines()[0].split()[:2] == ["VERSION", "TIME"]

    @pytest.mark.requirement("R22")
    def test_prints_all_findings(self, fleet: LocalFleet) -> None:
        """Guards against findings that are reported one at a time."""
        account = {"share": -1, "keys": [OPERATOR_KEY], "shre": 1}
        patch = write_patch(
            fleet,
            {"op": "add", "path": "/client_accounts/new", "value": account},
            {"op": "add", "path": "/pools/new", "value": {"kind": "modell"}},
        )
        done = run(fleet, "config", "patch", patch)
        assert done.exit_code == 1
        assert "refused: 4 findings" in done.stdout
        for place in (
            "client_accounts.new.share: -1 is not accepted",
            "client_accounts.new.keys: a list of 1 values is not",
            "client_accounts.new.shre: is not a known key; did you mean",
            "pools.new.kind: 'modell' is not accepted",
        ):
            assert place in done.stdout
        assert OPERATOR_KEY not in done.stdout + done.stderr

    @pytest.mark.requirement("R13")
    def test_unknown_without_controller(self, fleet: LocalFleet) -> None:
        """Guards against reporting an outcome without a controller."""
        write_settings(fleet, 7, controllers={"gone": "127.0.0.1:1"})
        patch = write_patch(fleet, set_share(5))
        for arguments in (("status",), ("config", "patch", patch)):
            done = run(fleet, *arguments, "--timeout=0.5", host=7)
            assert done.exit_code == 3
            assert "controller 127.0.0.1:1: can't be reached" in done.stderr

    @pytest.mark.requirement("R13")
    def test_lost_answer_is_asked_for_again(self, fleet: LocalFleet) -> None:
        """Guards against giving up a patch because a reply was lost."""
        address = json.loads((fleet.folder / "host-0.json").read_text())[
            "controllers"
        ]["host-0"]
        with LossyRelay(address, replies_to_drop=2) as relay:
            write_settings(fleet, 6, controllers={"relay": relay.address})
            base = run_json(fleet, "config", "show")["version"]
            patch = write_patch(fleet, set_share(6))
            done = run(
                fleet, "config", "patch", patch, f"--base={base}", host=6
            )
        assert done.exit_code == 0, done.stderr
        assert relay.dropped_replies == 2
        assert f"accepted as version {base + 1}" in done.stdout
        assert run_json(fleet, "config", "show")["version"] == base + 1

    def test_wait_names_late_routers(self, fleet: LocalFleet) -> None:
        """Guards against a timeout that doesn't name the late routers."""
        done = run(fleet, "config", "wait", 999, "--timeout=0.5")
        assert done.exit_code == 3
        assert "version 999 is not in force in time: host-0 has" in done.stderr


@pytest.mark.process
class TestRefusedCalls:
    """Calls from other fleets and calls with invalid arguments."""

    def test_other_fleet_is_refused_and_logged(
        self, fleet: LocalFleet
    ) -> None:
        """Guards against processes of one fleet changing another."""
        write_settings(fleet, 8, fleet="another")
        done = run(fleet, "status", host=8)
        assert done.exit_code == 1
        assert "fleet 'another' is not this fleet, 'test'" in done.stderr
        assert "refused host 'host-1' at " in fleet.read_log("host-0")

    @pytest.mark.requirement("R22")
    @pytest.mark.parametrize(
        ("arguments", "message"),
        [
            (("controllers", "add", "a b", "10.0.0.1"), "host 'a b' is not"),
            (("controllers", "add", "a b", "10.0.0.1"), "address '10.0.0.1'"),
            (("config", "patch", "missing.json"), "missing.json: No such"),
            (("config", "wait", "0"), "0 is not in the range x>=1"),
        ],
    )
    def test_refuses_arguments(
        self, fleet: LocalFleet, arguments: tuple[str, ...], message: str
    ) -> None:
        """Guards against sending calls with invalid arguments."""
        done = run(fleet, *arguments)
        assert done.exit_code == 2
        assert message in done.stderr


@pytest.mark.process
@pytest.mark.requirement("R22")
class TestSecrets:
    """No process or command prints a key."""

    def test_no_key_in_any_output(self, fleet: LocalFleet) -> None:
        """Guards against keys in logs, metrics, tables and error messages."""
        secrets = [
            "secret-key-of-a-caller-1",
            "secret-key-of-an-operator-2",
            "secret-key-of-an-upstream-3",
            f"{CALLER_KEY_PREFIX}hotel",
            OPERATOR_KEY,
            UPSTREAM_KEY,
        ]
        output = list(send_secrets(fleet, secrets))
        operation = {"op": "test", "path": "/operators", "value": secrets[1]}
        wrong = {
            "op": "add",
            "path": "/operators/eve",
            "value": {"keys": secrets},
        }
        for change in (operation, wrong, {**wrong, "value": secrets[1]}):
            done = run(fleet, "config", "patch", write_patch(fleet, change))
            assert done.exit_code == 1
            output += [done.stdout, done.stderr]
        for command in (
            ("status",),
            ("accounts",),
            ("workers",),
            ("config", "show"),
        ):
            for extra in ((), ("--json",)):
                done = run(fleet, *command, *extra)
                output += [done.stdout, done.stderr]
        output += [log.read_text() for log in fleet.folder.glob("*.log")]
        assert len("".join(output)) > 2000
        for secret in secrets:
            assert not [text for text in output if secret in text]


def send_secrets(fleet: LocalFleet, secrets: list[str]) -> Iterator[str]:
    """Send each key in all headers that may hold one; yield responses."""
    base = f"http://127.0.0.1:{fleet.router_ports[0]}"
    for secret in secrets:
        headers = {
            "authorization": f"Bearer {secret}",
            "hornbeamyard-patch-id": f"{secret} x",
            "if-match": secret,
            "content-type": secret,
            "idempotency-key": secret,
            "hornbeamyard-priority": secret,
            "hornbeamyard-cost-hint": secret,
            "hornbeamyard-deadline": secret,
        }
        for method, path in (
            ("GET", "/metrics"),
            ("GET", "/v1/models"),
            ("POST", "/v1/chat/completions"),
            ("POST", "/hornbeamyard/v1/upstreams"),
            ("PATCH", "/hornbeamyard/v1/admin/config"),
            ("GET", "/hornbeamyard/v1/admin/status"),
        ):
            response = httpcore.request(
                method,
                base + path,
                headers=headers,
                content=json.dumps({"model": "x", "name": "x"}).encode(),
                extensions={"timeout": {"read": 10.0}},
            )
            yield f"{response.status} {response.headers}"
            yield response.content.decode()


class TestTables:
    """Formatting of rows and documents as text."""

    def test_aligns_columns(self) -> None:
        """Guards against misaligned columns and wrong cell formats."""
        rows = [{"a": 1.5, "b_c": None}, {"a": True, "b_c": "xyz"}]
        text = format_table(rows, ["a", "b_c"])
        assert text == "A    B C\n1.5  -\nyes  xyz"

    def test_diff_hides_values_that_are_no_hash(self) -> None:
        """Guards against printing a key that was given instead of its hash."""
        after = {"operators": {"ana": {"keys": [OPERATOR_KEY]}}}
        diff = format_diff({"operators": {}}, after)
        assert "(not a hash)" in diff
        assert OPERATOR_KEY not in diff
