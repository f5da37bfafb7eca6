"""Tests of what a process of the fleet imports before it is ready."""

from __future__ import annotations

import importlib
import json
import subprocess
import sys
from importlib.machinery import SourceFileLoader
from pathlib import Path
from types import ModuleType
from typing import Any

import pytest

from hornbeamyard.process import bytecode, deferred_modules

# Imports what a process on the platform imports for one role.
IMPORT_ROLE = """
import json, sys
from hornbeamyard.process.deferred_modules import defer_modules
defer_modules()
import hornbeamyard.platform.daemon
import hornbeamyard.process.{module}
from hornbeamyard.process.servers import build_server
build_server(None, "127.0.0.1:80").config.load()
print(json.dumps(sorted(sys.modules)))
"""
# Libraries that neither role needs until it is ready.
COSTLY_LIBRARIES = {
    "click",
    "httpcore",
    "json5",
    "jsonpatch",
    "prometheus_client.exposition",
    "uvicorn.main",
}
CONTROLLER_MODULES = {
    "hornbeamyard.connection.directory",
    "hornbeamyard.connection.directory_service",
    "hornbeamyard.connection.replication",
    "hornbeamyard.platform.calls",
    "hornbeamyard.process.commands",
    "hornbeamyard.process.registrar",
    "hornbeamyard.version.election",
    "hornbeamyard.version.founding",
    "hornbeamyard.version.journal",
    "hornbeamyard.version.replica",
    "hornbeamyard.version.state",
}
ROUTER_MODULES = {
    "hornbeamyard.connection.client",
    "hornbeamyard.connection.subscription",
    "hornbeamyard.connection.upstreams",
    "hornbeamyard.pool.balancer",
    "hornbeamyard.process.commands",
    "hornbeamyard.process.decisions",
    "hornbeamyard.process.directory_router",
    "hornbeamyard.request.forwarding",
    "hornbeamyard.request.relay",
}
LEASED_MODULES = {
    "hornbeamyard.connection.session",
    "hornbeamyard.pool.dispatch",
    "hornbeamyard.process.leased_roles",
    "hornbeamyard.process.router",
    "hornbeamyard.request.delivery",
}


def list_imports(module: str) -> set[str]:
    """Return the modules that a process imports for the role in `module`."""
    result = subprocess.run(
        [sys.executable, "-c", IMPORT_ROLE.format(module=module)],
        capture_output=True,
        check=True,
        timeout=60,
    )
    return set(json.loads(result.stdout))


@pytest.mark.parametrize(
    ("module", "unwanted"),
    [
        ("directory_router", CONTROLLER_MODULES),
        ("registrar", ROUTER_MODULES),
    ],
)
def test_role_imports_nothing_of_the_other(
    module: str, unwanted: set[str]
) -> None:
    """Guards against processor time for modules that a role doesn't run."""
    imported = list_imports(module)
    assert f"hornbeamyard.process.{module}" in imported
    unwanted = unwanted | COSTLY_LIBRARIES | LEASED_MODULES
    assert imported & unwanted == set()


class TestDeferredModules:
    """Modules whose code runs at the first access to a name."""

    def test_failed_code_runs_again(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a module that stays empty after a passing error."""
        (tmp_path / "deferred_sample.py").write_text(
            "import os\nif os.environ.get('FAILS'): raise OSError('no file')\n"
            "value = 7\n"
        )
        monkeypatch.syspath_prepend(str(tmp_path))
        deferred_modules.defer_modules({"deferred_sample": {}})
        module = sys.modules["deferred_sample"]
        assert isinstance(module, ModuleType)
        assert "value" not in vars(module)
        monkeypatch.setenv("FAILS", "1")
        with pytest.raises(OSError, match="no file"):
            _ = module.value
        monkeypatch.delenv("FAILS")
        assert module.value == 7
        with pytest.raises(AttributeError, match="other"):
            _ = module.other
        del sys.modules["deferred_sample"]

    def test_missing_module_is_left_to_its_import(self) -> None:
        """Guards against an error that doesn't name the missing library."""
        deferred_modules.defer_modules(
            {"absent_sample": {}, "absent.part": {}}
        )
        assert "absent_sample" not in sys.modules
        with pytest.raises(ModuleNotFoundError, match="absent_sample"):
            __import__("absent_sample")


def test_uses_bytecode_of_the_build(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against modules that are compiled at every start."""
    package = tmp_path / "built_sample"
    package.mkdir()
    (package / "__init__.py").write_text("")
    for name in ("same", "changed", "new"):
        (package / f"{name}.py").write_text("value = 1\n")
    folder = tmp_path / "bytecode"
    # The options of the build step.
    options = ["-q", "--invalidation-mode", "checked-hash"]
    (package / "new.py").rename(tmp_path / "new.py")
    subprocess.run(
        [
            *(sys.executable, "-B", "-X", f"pycache_prefix={folder}"),
            *("-m", "compileall", *options, package),
        ],
        check=True,
        timeout=60,
    )
    (tmp_path / "new.py").rename(package / "new.py")
    (package / "changed.py").write_text("value = 2\n")
    compiled: list[str] = []
    compile_source = SourceFileLoader.source_to_code

    def record(self: Any, data: Any, path: Any, **options: Any) -> Any:
        compiled.append(Path(path).stem)
        return compile_source(self, data, path, **options)

    monkeypatch.setattr(SourceFileLoader, "source_to_code", record)
    monkeypatch.setattr(sys, "dont_write_bytecode", True)
    monkeypatch.setattr(sys, "path_hooks", list(sys.path_hooks))
    monkeypatch.syspath_prepend(str(tmp_path))
    bytecode.use_bytecode(package, tmp_path / "absent")
    bytecode.use_bytecode(package, folder)
    values = [
        importlib.import_module(f"built_sample.{name}").value
        for name in ("same", "changed", "new")
    ]
    assert values == [1, 2, 1]
    assert compiled == ["__init__", "changed", "new"]
    for name in [n for n in sys.modules if n.startswith("built_sample")]:
        del sys.modules[name]
