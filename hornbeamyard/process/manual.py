"""Generates the command reference in docs/cli.md."""

from __future__ import annotations

import inspect
from collections.abc import Iterator
from pathlib import Path

import click

from .commands import main
from .daemon import main as daemon

GENERATED_MARKER = "<!-- From here on written by scripts/generate. -->"


def build_manual() -> str:
    """Return the reference of all commands as Markdown."""
    sections = [*_describe(daemon, "hornbeamyardd")]
    sections += _describe(main, "hornbeamyard")
    return "\n".join(sections)


def update_page(page: Path) -> None:
    """Replace the part of a page that follows the marker."""
    head = page.read_text().partition(GENERATED_MARKER)[0]
    page.write_text(f"{head}{GENERATED_MARKER}\n\n{build_manual()}")


def _describe(command: click.Command, name: str) -> Iterator[str]:
    context = click.Context(command, info_name=name)
    usage = " ".join(command.collect_usage_pieces(context))
    yield f"## {name}\n\n    {name} {usage}\n"
    yield inspect.cleandoc(command.help or "") + "\n"
    records = [
        record
        for parameter in command.get_params(context)
        if (record := parameter.get_help_record(context)) is not None
    ]
    for option, text in records:
        if text and not option.startswith("--help"):
            yield f"- `{option}`: {text}"
    yield ""
    if isinstance(command, click.Group):
        for child in sorted(command.commands):
            yield from _describe(command.commands[child], f"{name} {child}")


if __name__ == "__main__":
    update_page(Path("docs/cli.md"))
