"""Checks of settings that involve several keys, files or folders."""

from __future__ import annotations

import ipaddress
import os
import ssl
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from .validation import Finding, check_address


def check_relations(
    document: dict[str, Any], invalid_paths: set[str], folder: Path
) -> list[Finding]:
    """Check the settings that depend on other keys, files or folders.

    Parameters
    ----------
    document : dict
        Parsed settings, which may have other errors.
    invalid_paths : set of str
        Key paths that already have findings; they are not checked again.
    folder : Path
        Folder of the settings file; paths are relative to it.

    Returns
    -------
    list of Finding
    """
    findings = _check_roles(document)
    findings += _check_own_address(document, invalid_paths)
    findings += _check_duplicates(document)
    findings += _check_plain_text(document)
    findings += _check_tls(document, invalid_paths, folder)
    findings += _check_data_folder(document, folder)
    return findings


def _check_roles(document: dict[str, Any]) -> list[Finding]:
    findings = []
    if "router" not in document and "controller" not in document:
        findings.append(
            Finding("", "neither 'router' nor 'controller' is set; give one")
        )
    if "directory" in document:
        return findings + _check_seeds(document)
    if "controllers" not in document:
        findings.append(Finding("controllers", "is missing and is required"))
    if document.get("controllers") == {}:
        findings.append(
            Finding("controllers", "is empty; name at least one controller")
        )
    return findings


def _check_seeds(document: dict[str, Any]) -> list[Finding]:
    if _get(document, "directory", "seeds") == []:
        message = "is empty; name at least one host"
        return [Finding("directory.seeds", message)]
    return []


def _check_own_address(
    document: dict[str, Any], invalid_paths: set[str]
) -> list[Finding]:
    controllers = document.get("controllers")
    if "controller" not in document or not isinstance(controllers, dict):
        return []
    if "directory" in document:
        return []
    host = document.get("host")
    if not isinstance(host, str) or not controllers:
        return []
    if host not in controllers:
        return [
            Finding(
                "controllers",
                f"has no entry for this host, {host!r}, whose role "
                "'controller' is on",
            )
        ]
    own_address = _get(document, "controller", "address")
    if {
        "controller.address",
        f"controllers.{host}",
    } & invalid_paths or own_address is None:
        return []
    if own_address == controllers[host]:
        return []
    return [
        Finding(
            "controller.address",
            f"{own_address!r} is not the address of this host in "
            f"'controllers'; give {controllers[host]!r}",
        )
    ]


def _list_addresses(document: dict[str, Any]) -> Iterator[tuple[str, str]]:
    """Yield the valid addresses of controllers and the router by key path."""
    controllers = document.get("controllers")
    if isinstance(controllers, dict):
        for host, address in controllers.items():
            if check_address(address) is None:
                yield f"controllers.{host}", address
    address = _get(document, "router", "address")
    if check_address(address) is None:
        yield "router.address", str(address)


def _check_duplicates(document: dict[str, Any]) -> list[Finding]:
    findings = []
    owners: dict[str, str] = {}
    for key_path, address in _list_addresses(document):
        owner = owners.setdefault(address, key_path)
        if owner != key_path:
            findings.append(
                Finding(
                    key_path,
                    f"{address!r} is also the address of {owner!r}; give "
                    "each its own",
                )
            )
    return findings


def _check_plain_text(document: dict[str, Any]) -> list[Finding]:
    if "tls" in document or document.get("plain_text", False) is not False:
        return []
    findings = []
    for key_path, address in _list_addresses(document):
        ip = ipaddress.ip_address(address.rpartition(":")[0].strip("[]"))
        # Callers reach routers through the platform's load balancer; `tls`
        # only covers connections between the fleet's processes.
        if key_path == "router.address" or ip.is_loopback:
            continue
        findings.append(
            Finding(
                key_path,
                f"{address!r} is not on loopback; set 'tls', or "
                "'plain_text' to true",
            )
        )
    return findings


def _check_tls(
    document: dict[str, Any], invalid_paths: set[str], folder: Path
) -> list[Finding]:
    findings = []
    files = {}
    for name in ("certificate", "key", "authority"):
        key_path = f"tls.{name}"
        value = _get(document, "tls", name)
        if key_path in invalid_paths or not isinstance(value, str):
            continue
        try:
            (folder / value).read_bytes()
        except OSError as error:
            findings.append(
                Finding(key_path, f"{value!r} can't be read: {error.strerror}")
            )
        else:
            files[name] = folder / value
    return findings + _check_certificates(files)


def _check_certificates(files: dict[str, Path]) -> list[Finding]:
    findings = []
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    if "authority" in files:
        try:
            context.load_verify_locations(files["authority"])
        except ssl.SSLError:
            findings.append(
                Finding("tls.authority", "is not a certificate in PEM format")
            )
    if "certificate" in files and "key" in files:
        try:
            # With an empty password OpenSSL doesn't prompt on the terminal.
            context.load_cert_chain(
                files["certificate"], files["key"], password=""
            )
        except ssl.SSLError:
            findings.append(
                Finding(
                    "tls.certificate",
                    "is not a certificate in PEM format for the private key "
                    "without password in 'tls.key'",
                )
            )
    return findings


def _check_data_folder(
    document: dict[str, Any], folder: Path
) -> list[Finding]:
    value = _get(document, "controller", "data_folder")
    if not isinstance(value, str) or not value:
        return []
    path = folder / value
    if path.exists() and not path.is_dir():
        return [
            Finding("controller.data_folder", f"{value!r} is not a folder")
        ]
    if path.is_dir() and not os.access(path, os.W_OK):
        return [
            Finding("controller.data_folder", f"{value!r} can't be written")
        ]
    return []


def _get(document: dict[str, Any], section: str, key: str) -> Any:
    value = document.get(section)
    return value.get(key) if isinstance(value, dict) else None
