"""Rules of the group of controllers: majorities and changes of members.

A member is known by the id of its data folder, because a host whose disk was
emptied has forgotten its votes and must not count as the member it was.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from ..messages import fleet_pb2

NEVER = float("-inf")


@dataclass(slots=True)
class Answer:
    """What a host has answered, and from which data folder.

    Attributes
    ----------
    disk : bytes
    initial : bool
        Whether the folder was made by the initialization of the fleet.
    value : float
        What the majority is sought for: an index, a time or a vote.
    """

    disk: bytes
    initial: bool
    value: float


def is_same(member: fleet_pb2.Member, disk: bytes, initial: bool) -> bool:
    """Return whether a data folder is the one of a member.

    The first member list names no folders; until the leader has filled them
    in, each host's folder from the initialization stands for its member.
    """
    if not member.disk:
        return initial
    return member.disk == disk


def find_majority(
    members: fleet_pb2.MemberList, answers: Mapping[str, Answer]
) -> float:
    """Return the highest value that a majority of voters has reached."""
    values = []
    for member in members.members:
        if not member.voter:
            continue
        answer = answers.get(member.host)
        if answer and is_same(member, answer.disk, answer.initial):
            values.append(answer.value)
        else:
            values.append(NEVER)
    if not values:
        return NEVER
    values.sort(reverse=True)
    return values[len(values) // 2]


def describe_members(members: fleet_pb2.MemberList) -> str:
    """Return the hosts of all members as text."""
    return ", ".join(
        member.host if member.voter else f"{member.host} (learner)"
        for member in members.members
    )


def find_addresses(members: fleet_pb2.MemberList) -> dict[str, str]:
    """Return the addresses of all members by host."""
    return {member.host: member.address for member in members.members}


def is_voter(
    members: fleet_pb2.MemberList, host: str, disk: bytes, initial: bool
) -> bool:
    """Return whether a data folder of a host is a voter's."""
    return any(
        member.voter and is_same(member, disk, initial)
        for member in members.members
        if member.host == host
    )


def plan_step(
    members: fleet_pb2.MemberList,
    answers: Mapping[str, Answer],
    commit_index: int,
) -> fleet_pb2.MemberList | None:
    """Return the next member list that a leader should propose, if any.

    Each step adds or removes one voter at most, so that the majorities
    before and after it overlap.

    Parameters
    ----------
    members : MemberList
        The newest list, which must be committed.
    answers : mapping of str to Answer
        The last index that each host holds.
    commit_index : int
    """
    for plan in (_name_folder, _add_folder, _promote, _remove_replaced):
        changed = fleet_pb2.MemberList()
        changed.CopyFrom(members)
        if plan(changed, answers, commit_index):
            return changed
    return None


def _name_folder(
    members: fleet_pb2.MemberList,
    answers: Mapping[str, Answer],
    commit_index: int,
) -> bool:
    for member in members.members:
        answer = answers.get(member.host)
        if member.disk or answer is None:
            continue
        if answer.initial or not member.voter:
            member.disk = answer.disk
            return True
    return False


def _add_folder(
    members: fleet_pb2.MemberList,
    answers: Mapping[str, Answer],
    commit_index: int,
) -> bool:
    for host, address in find_addresses(members).items():
        answer = answers.get(host)
        disks = {m.disk for m in members.members if m.host == host}
        if answer is not None and answer.disk not in disks:
            members.members.add(host=host, address=address, disk=answer.disk)
            return True
    return False


def _promote(
    members: fleet_pb2.MemberList,
    answers: Mapping[str, Answer],
    commit_index: int,
) -> bool:
    for member in members.members:
        answer = answers.get(member.host)
        if member.voter or answer is None or answer.disk != member.disk:
            continue
        if answer.value >= commit_index:
            member.voter = True
            return True
    return False


def _remove_replaced(
    members: fleet_pb2.MemberList,
    answers: Mapping[str, Answer],
    commit_index: int,
) -> bool:
    for place, member in enumerate(members.members):
        replaced = member.replaces
        if member.voter and replaced:
            member.replaces = ""
            if _remove_one(members, replaced):
                return True
        later = [m for m in members.members[place + 1 :] if m.voter]
        if any(m.host == member.host for m in later):
            del members.members[place]
            return True
    return False


def _remove_one(members: fleet_pb2.MemberList, host: str) -> bool:
    for place, member in enumerate(members.members):
        if member.host == host:
            del members.members[place]
            return True
    return False


def change_members(
    members: fleet_pb2.MemberList, change: fleet_pb2.MemberChange
) -> fleet_pb2.MemberList | str:
    """Return the member list that an operator's change begins with.

    Parameters
    ----------
    members : MemberList
        The newest list, which must be committed.
    change : MemberChange

    Returns
    -------
    MemberList or str
        The text tells why the change is refused.
    """
    hosts = find_addresses(members)
    changed = fleet_pb2.MemberList()
    changed.CopyFrom(members)
    if change.kind == fleet_pb2.MemberChange.REMOVE:
        return _remove_host(changed, change.host)
    learners = [m.host for m in members.members if not m.voter]
    if learners:
        return f"member {learners[0]!r} is still being added"
    if change.kind == fleet_pb2.MemberChange.ADD:
        new, replaced = change.host, ""
    elif change.kind == fleet_pb2.MemberChange.REPLACE:
        new, replaced = change.replacement, change.host
        if replaced not in hosts:
            return f"{replaced!r} is not a member; members: {sorted(hosts)}"
    else:
        return f"the kind of change {change.kind} is not known"
    if not new or not change.address:
        return "the new member's host or address is missing"
    if new in hosts:
        return f"{new!r} is a member already"
    changed.members.add(host=new, address=change.address, replaces=replaced)
    return changed


def _remove_host(
    changed: fleet_pb2.MemberList, host: str
) -> fleet_pb2.MemberList | str:
    before = [m for m in changed.members if m.host == host]
    if not before:
        hosts = sorted(find_addresses(changed))
        return f"{host!r} is not a member; members: {hosts}"
    if sum(m.voter for m in before) > 1:
        return f"member {host!r} is being repaired; try again later"
    kept = [m for m in changed.members if m.host != host]
    if not any(m.voter for m in kept):
        return f"{host!r} is the last voter"
    return fleet_pb2.MemberList(members=kept)
