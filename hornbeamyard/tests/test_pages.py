"""The commands and settings on the operators' pages work as written."""

from __future__ import annotations

import ast
import contextlib
import ipaddress
import os
import re
import shutil
import signal
import subprocess
import sys
from pathlib import Path

import json5
import pytest
from click.testing import CliRunner
from result import Ok

from hornbeamyard.process import manual, metrics
from hornbeamyard.process.commands import main
from hornbeamyard.process.daemon import main as daemon
from hornbeamyard.process.settings import load_settings
from hornbeamyard.version.state import FleetState, patch_document

from .certificates import CertificateAuthority
from .fleet import find_free_port

DOCS = Path(__file__).parents[2] / "docs"
SOURCES = DOCS.parent / "hornbeamyard"
EXAMPLES = DOCS / "examples"
DEPLOYMENTS = ("quetzaltenango", "millisafn")
LOOPBACK = re.compile(r"127\.0\.0\.1:(\d{5})\b")
# Time limit for all commands of a page.
PAGE_TIMEOUT_S = 60


def extract_commands(page: Path) -> str:
    """Return all commands of a page, as one script."""
    blocks = re.findall(r"^```sh\n(.*?)^```$", page.read_text(), re.M | re.S)
    return "".join(blocks)


class Ports:
    """Replaces the ports in the examples by free ones."""

    def __init__(self) -> None:
        self._ports: dict[str, int] = {}

    def replace(self, text: str) -> str:
        """Return a text with replaced ports."""
        return LOOPBACK.sub(
            lambda match: f"127.0.0.1:{self._find(match[1])}", text
        )

    def replace_in(self, folder: Path) -> None:
        """Replace the ports in all settings files of a folder."""
        for path in sorted(folder.rglob("host-*.json")):
            path.write_text(self.replace(path.read_text()))

    def _find(self, port: str) -> int:
        return self._ports.setdefault(port, find_free_port())


def write_programs(folder: Path) -> str:
    """Write scripts for the two programs; return a search path."""
    for name, module in (
        ("hornbeamyard", "commands"),
        ("hornbeamyardd", "daemon"),
    ):
        program = folder / name
        command = f"{sys.executable} -m hornbeamyard.process.{module}"
        program.write_text(f'#!/bin/sh\nexec {command} "$@"\n')
        program.chmod(0o755)
    return f"{folder}:{os.environ['PATH']}"


@pytest.mark.process
class TestOperations:
    """All commands of the page docs/administration.md, in order."""

    @pytest.mark.requirement("R14")
    def test_runs_all_commands(self, tmp_path: Path) -> None:
        """Guards against documented commands that fail."""
        (tmp_path / "bin").mkdir()
        shutil.copytree(EXAMPLES, tmp_path / "docs" / "examples")
        ports = Ports()
        ports.replace_in(tmp_path / "docs" / "examples" / "quetzaltenango")
        commands = extract_commands(DOCS / "administration.md")
        commands = commands.replace("127.0.0.1:1800$1", '$(address "$1")')
        commands = ports.replace(commands)
        find = 'sed -n \'/router/,/}/s/.*"address": "\\(.*\\)".*/\\1/p\''
        prelude = f"set -euxo pipefail\naddress() {{ {find} host-$1.json; }}\n"
        log = tmp_path / "output.txt"
        with log.open("w") as output:
            process = subprocess.Popen(
                ["bash", "-c", prelude + commands],
                cwd=tmp_path,
                env={
                    **os.environ,
                    "PATH": write_programs(tmp_path / "bin"),
                    "PYTHONPATH": str(DOCS.parent),
                },
                stdout=output,
                stderr=output,
                start_new_session=True,
            )
        try:
            process.wait(PAGE_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            pytest.fail(f"the commands did not end: {log.read_text()[-3000:]}")
        finally:
            # The session contains only processes that the page has started.
            with contextlib.suppress(ProcessLookupError):
                os.killpg(process.pid, signal.SIGKILL)
        text = log.read_text()
        assert process.returncode == 0, text[-3000:]
        assert "accepted as version 4" in text
        assert "client_accounts.hotel-mar.share: -1 is not" in text
        assert "client_accounts.hotel-mar.keys: is missing" in text


class TestExamples:
    """Settings and first patches of both deployments."""

    @pytest.mark.parametrize("deployment", DEPLOYMENTS)
    def test_settings_are_valid(self, tmp_path: Path, deployment: str) -> None:
        """Guards against example settings with errors."""
        folder = tmp_path / deployment
        shutil.copytree(EXAMPLES / deployment, folder)
        authority = CertificateAuthority(folder, "authority")
        files = sorted(folder.glob("host-*.json"))
        assert len(files) == 9
        for path in files:
            tls = authority.issue(path.stem)
            shutil.copy(folder / tls["key"], folder / f"{path.stem}.key")
            certificate = folder / tls["certificate"]
            shutil.copy(certificate, folder / f"{path.stem}.pem")
            loaded = load_settings(path)
            assert isinstance(loaded, Ok), str(loaded.err())
            router = loaded.ok_value.router
            assert router is not None
            host = router.address.partition(":")[0]
            assert ipaddress.ip_address(host).is_private

    @pytest.mark.parametrize("deployment", DEPLOYMENTS)
    def test_loopback_is_like_the_fleet(self, deployment: str) -> None:
        """Guards against loopback variants that describe another fleet."""
        folder = EXAMPLES / deployment
        for path in folder.glob("host-*.json"):
            variant = folder / "loopback" / path.name
            assert isinstance(load_settings(variant), Ok)
            fleet = json5.loads(path.read_text())
            local = json5.loads(variant.read_text())
            assert set(fleet) - set(local) == {"tls"}
            for key in ("fleet", "host", "availability_zone"):
                assert fleet[key] == local[key]
            assert list(fleet["controllers"]) == list(local["controllers"])

    @pytest.mark.parametrize("deployment", DEPLOYMENTS)
    def test_first_patch_is_accepted(self, deployment: str) -> None:
        """Guards against an example patch that the fleet refuses."""
        patch = (EXAMPLES / deployment / "first-patch.json").read_bytes()
        patched = patch_document(FleetState().document, patch, 1)
        configuration = patched.unwrap()[1]
        assert len(configuration.client_accounts) == 16
        assert configuration.find_operator("example-key-of-ana") == "ana"


class TestManual:
    """The page docs/cli.md."""

    def test_is_up_to_date(self) -> None:
        """Guards against a reference that differs from the commands."""
        text = (
            (DOCS / "cli.md").read_text().partition(manual.GENERATED_MARKER)[2]
        )
        assert text.strip() == manual.build_manual().strip(), (
            "run scripts/generate"
        )

    @pytest.mark.parametrize(
        "name", re.findall(r"## hornbeamyard(d?.*)\n", manual.build_manual())
    )
    def test_help_works(self, name: str) -> None:
        """Guards against commands without a help text."""
        command = daemon if name == "d" else main
        words = [] if name == "d" else name.split()
        done = CliRunner().invoke(command, [*words, "--help"])
        assert done.exit_code == 0
        assert len(done.stdout.splitlines()) >= 5


class TestAlarms:
    """The page docs/alarms.md."""

    @pytest.mark.parametrize("name", [*metrics.HELP, *metrics.DIRECTORY_HELP])
    def test_names_each_metric(self, name: str) -> None:
        """Guards against metrics that the page doesn't explain."""
        text = (DOCS / "alarms.md").read_text()
        assert f"`hornbeamyard_{name}" in text


def list_log_texts() -> list[str]:
    """Return the constant parts of all log messages."""
    texts = set()
    for path in sorted(SOURCES.rglob("*.py")):
        if "tests" in path.parts:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            called, text = ast.unparse(node.func), node.args[0]
            if called.startswith("_log.") and isinstance(text, ast.Constant):
                parts = re.split(r"\{[^}]*\}", str(text.value))
                texts |= {part.strip(" :,") for part in parts}
    return sorted(text for text in texts if len(text) > 4)


class TestLogLines:
    """The log lines on docs/alarms.md."""

    @pytest.mark.parametrize("text", list_log_texts())
    def test_page_has_line(self, text: str) -> None:
        """Guards against log lines that the page doesn't explain."""
        page = (DOCS / "alarms.md").read_text()
        assert text in page, f"docs/alarms.md lacks the log line {text!r}"


class TestLinks:
    """Links between pages."""

    @pytest.mark.parametrize("page", sorted(DOCS.glob("*.md")))
    def test_links_lead_to_files(self, page: Path) -> None:
        """Guards against links to missing files."""
        targets = re.findall(r"\]\(([^)#:]+)\)", page.read_text())
        for target in targets:
            assert (page.parent / target).exists(), target
