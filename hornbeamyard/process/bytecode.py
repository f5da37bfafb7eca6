"""Bytecode of the project that was written when it was built.

Where the project's folder can't be written, the interpreter would compile
every module at every start. The build step writes bytecode to a folder of its
own instead (`deploy/system.toml`), which only the modules of the project use.
Bytecode that is missing or belongs to another version of a module is ignored.
"""

from __future__ import annotations

import sys
from importlib.machinery import FileFinder, SourceFileLoader
from pathlib import Path
from types import CodeType

PROJECT_FOLDER = Path(__file__).resolve().parents[2]
PACKAGE_FOLDER = PROJECT_FOLDER / "hornbeamyard"
BYTECODE_FOLDER = PROJECT_FOLDER / "target" / "bytecode"


def use_bytecode(
    package: Path = PACKAGE_FOLDER, folder: Path = BYTECODE_FOLDER
) -> None:
    """Import the modules of a package from their bytecode, if there is any.

    Parameters
    ----------
    package : Path, optional
        Absolute path of the package's folder.
    folder : Path, optional
        Written by `python -X pycache_prefix=FOLDER -m compileall PACKAGE`.
    """
    if not folder.is_dir():
        return
    prefix = str(folder)

    class Loader(SourceFileLoader):
        """Looks for bytecode in the folder."""

        def get_code(self, fullname: str) -> CodeType | None:
            """Return the code of a module."""
            before = sys.pycache_prefix
            sys.pycache_prefix = prefix
            try:
                return super().get_code(fullname)
            finally:
                sys.pycache_prefix = before

    def build_finder(path: str) -> FileFinder:
        if not Path(path).is_relative_to(package):
            raise ImportError("not a folder of the package", path=path)
        return FileFinder(path, (Loader, [".py"]))

    sys.path_hooks.insert(0, build_finder)
    for path in list(sys.path_importer_cache):
        if Path(path).is_relative_to(package):
            del sys.path_importer_cache[path]
