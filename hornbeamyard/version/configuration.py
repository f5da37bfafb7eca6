"""The configuration document: client accounts, pools, upstreams, operators."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok, Result

from ..process import validation
from ..process.validation import Finding, Option, Section, Table

# Section and name of an entry in the document.
EntryPath = tuple[str, str]

EMPTY_DOCUMENT: dict[str, Any] = {
    "client_accounts": {},
    "pools": {},
    "upstreams": {},
    "operators": {},
}


@dataclass(slots=True)
class ClientAccount:
    """A client account and its share of capacity.

    Attributes
    ----------
    name : str
    share : float
        Weight relative to other accounts.
    keys : list of str
        SHA-256 hashes of its bearer keys, in hexadecimal digits.
    queue_requests : int
        Maximum number of requests queued at one router.
    queue_size : int
        Maximum size of requests queued at one router, in bytes.
    priority : bool
        Whether the account may send requests with priority.
    """

    name: str
    share: float
    keys: list[str]
    queue_requests: int = 1000
    queue_size: int = 64 * 1024 * 1024
    priority: bool = True


@dataclass(slots=True)
class Pool:
    """The upstreams of a model or of a plain service.

    Attributes
    ----------
    name : str
    kind : str
        `model` or `service`.
    repeatable : bool
        Whether requests may be retried whatever their HTTP method.
    """

    name: str
    kind: str
    repeatable: bool = False


@dataclass(slots=True)
class Configuration:
    """One version of the configuration.

    Attributes
    ----------
    version : int
    client_accounts : dict of str to ClientAccount
    pools : dict of str to Pool
    upstreams : dict of str to list of str
        Key hashes of the allowed upstreams, by name.
    operators : dict of str to list of str
        Key hashes of the operators, by name.
    """

    version: int
    client_accounts: dict[str, ClientAccount] = field(default_factory=dict)
    pools: dict[str, Pool] = field(default_factory=dict)
    upstreams: dict[str, list[str]] = field(default_factory=dict)
    operators: dict[str, list[str]] = field(default_factory=dict)
    _accounts_by_key: dict[str, ClientAccount] = field(default_factory=dict)

    def replace_entries(
        self, entries: Collection[EntryPath], changed: Configuration
    ) -> Configuration:
        """Return a copy with some entries replaced.

        Parameters
        ----------
        entries : collection of EntryPath
            Entries that were added, changed or removed.
        changed : Configuration
            The new version number and new contents of these entries; those
            missing from it are removed.
        """
        result = Configuration(
            changed.version,
            dict(self.client_accounts),
            dict(self.pools),
            dict(self.upstreams),
            dict(self.operators),
            dict(self._accounts_by_key),
        )
        for section, name in entries:
            if section == "client_accounts" and name in self.client_accounts:
                for key in self.client_accounts[name].keys:
                    result._accounts_by_key.pop(key, None)
            getattr(result, section).pop(name, None)
        result.client_accounts.update(changed.client_accounts)
        result.pools.update(changed.pools)
        result.upstreams.update(changed.upstreams)
        result.operators.update(changed.operators)
        result._accounts_by_key.update(changed._accounts_by_key)
        return result

    def find_account(self, key: str) -> ClientAccount | None:
        """Return the client account of a bearer key, or None."""
        return self._accounts_by_key.get(hash_key(key))

    def find_operator(self, key: str) -> str | None:
        """Return the name of the operator with a bearer key, or None."""
        key_hash = hash_key(key)
        for name, keys in self.operators.items():
            if key_hash in keys:
                return name
        return None

    def is_upstream_allowed(self, name: str, key: str) -> bool:
        """Return whether an upstream may announce itself with a key."""
        return hash_key(key) in self.upstreams.get(name, [])


# Marked secret because an operator may enter a key instead of its hash by
# mistake, and the finding must not show it.
_KEY_HASHES = Option(
    validation.check_list(validation.check_hash), required=True, secret=True
)

_SCHEMA = Section(
    {
        "client_accounts": Table(
            validation.check_name,
            Section(
                {
                    "share": Option(
                        validation.check_number(0.001, 1_000_000),
                        required=True,
                    ),
                    "keys": _KEY_HASHES,
                    "queue_requests": Option(
                        validation.check_integer(1, 1_000_000)
                    ),
                    "queue_size": Option(
                        validation.check_integer(1024, 2**40, "bytes")
                    ),
                    "priority": Option(validation.check_boolean),
                }
            ),
            required=True,
        ),
        "pools": Table(
            validation.check_name,
            Section(
                {
                    "kind": Option(
                        validation.check_choice("model", "service"),
                        required=True,
                    ),
                    "repeatable": Option(validation.check_boolean),
                }
            ),
            required=True,
        ),
        "upstreams": Table(
            validation.check_name,
            Section({"keys": _KEY_HASHES}),
            required=True,
        ),
        "operators": Table(
            validation.check_name,
            Section({"keys": _KEY_HASHES}),
            required=True,
        ),
    }
)


def hash_key(key: str) -> str:
    """Return the SHA-256 of a key as hexadecimal digits.

    Keys are long and random, so an unsalted hash can't be reversed by
    guessing.
    """
    return hashlib.sha256(key.encode()).hexdigest()


def parse_document(
    document: bytes | dict[str, Any], version: int
) -> Result[Configuration, list[Finding]]:
    """Validate a configuration document and build the configuration.

    Parameters
    ----------
    document : bytes or dict
        JSON, or the object parsed from it.
    version : int
        Version number of the result.

    Returns
    -------
    Result of Configuration or list of Finding
        The error lists what is wrong with the document.
    """
    if isinstance(document, bytes):
        try:
            document = json.loads(document)
        except ValueError as error:
            return Err([Finding("", f"is not JSON: {error}")])
    findings = validation.check_document(document, _SCHEMA)
    if findings:
        return Err(findings)
    assert isinstance(document, dict)
    findings = _check_keys_unique(document)
    if findings:
        return Err(findings)
    return Ok(_build_configuration(document, version))


def _check_keys_unique(document: dict[str, Any]) -> list[Finding]:
    findings = []
    owners: dict[str, str] = {}
    for name, account in document["client_accounts"].items():
        for key_hash in account["keys"]:
            owner = owners.setdefault(key_hash, name)
            if owner != name:
                findings.append(
                    Finding(
                        f"client_accounts.{name}.keys",
                        f"holds a key of client account {owner!r}; give "
                        "each key to one account",
                    )
                )
    return findings


def _build_configuration(
    document: dict[str, Any], version: int
) -> Configuration:
    accounts = {
        name: ClientAccount(name=name, **fields)
        for name, fields in document["client_accounts"].items()
    }
    return Configuration(
        version=version,
        client_accounts=accounts,
        pools={
            name: Pool(name=name, **fields)
            for name, fields in document["pools"].items()
        },
        upstreams={
            name: fields["keys"]
            for name, fields in document["upstreams"].items()
        },
        operators={
            name: fields["keys"]
            for name, fields in document["operators"].items()
        },
        _accounts_by_key={
            key_hash: account
            for account in accounts.values()
            for key_hash in account.keys
        },
    )
