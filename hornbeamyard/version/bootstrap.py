"""Initialization of a controller's data folder, and recovery of a lost quorum.

Both run from the command line while the controller's daemon is stopped.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

import anyio
from result import Err, Ok, Result

from ..connection import peers
from ..connection.replication import ReplicationCalls
from ..messages import fleet_pb2
from ..process.settings import Settings
from .journal import SET_ASIDE_FOLDER, FolderDisk, Journal, JournalError
from .state import FleetState

# Time limit of the call that checks whether a controller has a log.
PROBE_TIMEOUT_S = 1.0


@dataclass(slots=True)
class InitializedFolder:
    """A data folder that was initialized.

    Attributes
    ----------
    disk_id : str
        Id of the data folder, in hexadecimal digits.
    members : list of str
        Hosts of the initial members.
    """

    disk_id: str
    members: list[str]


@dataclass(slots=True)
class RecoveryReport:
    """The state of a surviving member, and whether it was recovered.

    Attributes
    ----------
    last_index : int
        Index of its last log entry.
    version : int
        Configuration version as of that entry.
    lost_members : list of str
        Hosts of the other members.
    is_done : bool
        Whether this member is now the only voter.
    """

    last_index: int
    version: int
    lost_members: list[str]
    is_done: bool


def initialize(settings: Settings) -> Result[InitializedFolder, str]:
    """Initialize this host's data folder with the initial members.

    Refused if this host or another reachable controller already has a log.

    Parameters
    ----------
    settings : Settings
        Must include the controller role; `controllers` are the initial
        members.

    Returns
    -------
    Result of InitializedFolder or str
        The error names the reason and, where there is one, the remedy.
    """
    return anyio.run(_initialize, settings)


async def _initialize(settings: Settings) -> Result[InitializedFolder, str]:
    if settings.controller is None:
        return Err(f"host {settings.host!r} has no role 'controller'")
    disk = FolderDisk(settings.controller.data_folder)
    journal = Journal(disk, settings.fleet)
    try:
        if await journal.has_vote():
            return Err(
                f"{settings.controller.data_folder} is an initialized data "
                "folder already"
            )
        if await disk.has_set_aside():
            return Err(
                f"{settings.controller.data_folder} held files that were "
                f"damaged and are kept in {SET_ASIDE_FOLDER!r}; start this "
                "host, and the leader adds it"
            )
        owner = await _find_initialized_controller(settings)
        if owner:
            return Err(
                f"controller {owner!r} has a log already; start this host "
                "with an empty data folder, and the leader adds it"
            )
        members = fleet_pb2.MemberList(
            members=[
                fleet_pb2.Member(host=host, address=address, voter=True)
                for host, address in sorted(settings.controllers.items())
            ]
        )
        first = fleet_pb2.LogEntry(index=1, members=members)
        await journal.initialize(random.randbytes(16), [first])
    except (OSError, JournalError) as error:
        return Err(str(error))
    return Ok(
        InitializedFolder(journal.disk_id.hex(), sorted(settings.controllers))
    )


async def _find_initialized_controller(settings: Settings) -> str:
    """Return a host whose controller has had an election, or ""."""
    calls = ReplicationCalls(settings.tls)
    try:
        return await _probe_controllers(settings, calls)
    finally:
        await calls.close()


async def _probe_controllers(
    settings: Settings, calls: ReplicationCalls
) -> str:
    request = fleet_pb2.VoteRequest(
        identity=peers.build_identity(settings, 0), pre_vote=True
    )
    for host, address in settings.controllers.items():
        if host == settings.host:
            continue
        reply = None
        with anyio.move_on_after(PROBE_TIMEOUT_S):
            reply = await calls.vote(address, request)
        if reply is not None and reply.term > 0:
            return host
    return ""


def recover(
    settings: Settings, accept_data_loss: bool
) -> Result[RecoveryReport, str]:
    """Make this host's member the only voter after the quorum was lost.

    The daemon must be stopped, and the lost members must not be started
    again with their old data folders. Entries that this member doesn't hold
    are lost, and entries that were never committed may take effect.

    Parameters
    ----------
    settings : Settings
        Must include the controller role.
    accept_data_loss : bool
        If false, nothing is changed and the report shows what this member
        holds.

    Returns
    -------
    Result of RecoveryReport or str
        The error names the reason.
    """
    return anyio.run(_recover, settings, accept_data_loss)


async def _recover(
    settings: Settings, accept_data_loss: bool
) -> Result[RecoveryReport, str]:
    if settings.controller is None:
        return Err(f"host {settings.host!r} has no role 'controller'")
    disk = FolderDisk(settings.controller.data_folder)
    journal = Journal(disk, settings.fleet)
    try:
        if not await journal.has_vote():
            return Err(f"{settings.controller.data_folder} holds no log")
        await journal.load(lambda: b"")
        state = FleetState.from_snapshot(journal.snapshot)
        for index in range(state.last_index + 1, journal.last_index + 1):
            entry = journal.get_entry(index)
            assert entry is not None
            state.apply(entry)
        lost = [m.host for m in journal.members.members]
        if accept_data_loss:
            await _become_only_voter(journal, settings)
    except (OSError, JournalError) as error:
        return Err(str(error))
    lost = sorted({host for host in lost if host != settings.host})
    return Ok(
        RecoveryReport(state.last_index, state.version, lost, accept_data_loss)
    )


async def _become_only_voter(journal: Journal, settings: Settings) -> None:
    term = journal.term + 1
    member = fleet_pb2.Member(
        host=settings.host,
        address=settings.controllers[settings.host],
        voter=True,
        disk=journal.disk_id,
    )
    entry = fleet_pb2.LogEntry(
        term=term,
        index=journal.last_index + 1,
        members=fleet_pb2.MemberList(members=[member]),
    )
    await journal.store_vote(term, journal.disk_id)
    await journal.append([entry])
