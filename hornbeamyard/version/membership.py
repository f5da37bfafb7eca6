"""Quorums and changes of the members of the replicated log.

A member is identified by the id of its data folder, because a host that lost
its disk has lost its votes too and must not count as the previous member.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from ..messages import fleet_pb2

# Value of a member that hasn't replied.
NEVER = float("-inf")


@dataclass(slots=True)
class MemberReply:
    """A value that a host reported, and the data folder it came from.

    Attributes
    ----------
    disk_id : bytes
        Id of the data folder.
    initial : bool
        Whether the folder was made when the fleet was initialized.
    value : float
        The value to find a majority for: a log index, a time or a vote.
    """

    disk_id: bytes
    initial: bool
    value: float


def is_member_disk(
    member: fleet_pb2.Member, disk_id: bytes, initial: bool
) -> bool:
    """Return whether a data folder belongs to a member.

    The list of initial members has no folder ids. Until the leader has filled
    them in, a folder made by the initialization belongs to its host's member.
    """
    if not member.disk:
        return initial
    return member.disk == disk_id


def find_majority(
    members: fleet_pb2.MemberList, replies: Mapping[str, MemberReply]
) -> float:
    """Return the highest value that a majority of voters has reached.

    It is `NEVER` if a majority hasn't replied. A majority is counted over
    `required_voters` where there are fewer.
    """
    values = []
    for member in members.members:
        if not member.voter:
            continue
        reply = replies.get(member.host)
        if reply and is_member_disk(member, reply.disk_id, reply.initial):
            values.append(reply.value)
        else:
            values.append(NEVER)
    majority = count_majority(members)
    if len(values) < majority:
        return NEVER
    values.sort(reverse=True)
    return values[majority - 1]


def count_majority(members: fleet_pb2.MemberList) -> int:
    """Return the number of voters that are a majority."""
    voters = sum(member.voter for member in members.members)
    return max(voters, members.required_voters) // 2 + 1


def has_majority_without(
    members: fleet_pb2.MemberList, hosts: Collection[str]
) -> bool:
    """Return whether the voters on other hosts can be a majority."""
    others = [m for m in members.members if m.voter and m.host not in hosts]
    return len(others) >= count_majority(members)


def list_voters(members: fleet_pb2.MemberList) -> list[str]:
    """Return the hosts of the voters."""
    return sorted({m.host for m in members.members if m.voter})


def is_majority(hosts: Collection[str], voters: Collection[str]) -> bool:
    """Return whether hosts include a majority of the voters.

    Controllers that are known but don't vote, such as former members and
    candidates, don't count: they come and go without the others' consent.
    """
    return 2 * len(set(hosts) & set(voters)) > len(voters) > 0


def count_voters(
    members: fleet_pb2.MemberList,
    replies: Mapping[str, MemberReply],
    value: float,
) -> int:
    """Return the number of voters that have reached a value."""
    count = 0
    for member in members.members:
        reply = replies.get(member.host)
        if member.voter and reply is not None and reply.value >= value:
            count += is_member_disk(member, reply.disk_id, reply.initial)
    return count


def has_learners(members: fleet_pb2.MemberList) -> bool:
    """Return whether a member is still being added."""
    return not all(member.voter for member in members.members)


def describe_members(members: fleet_pb2.MemberList) -> str:
    """Return the hosts of all members as text, with learners marked."""
    return ", ".join(
        member.host if member.voter else f"{member.host} (learner)"
        for member in members.members
    )


def find_addresses(members: fleet_pb2.MemberList) -> dict[str, str]:
    """Return the addresses of all members by host."""
    return {member.host: member.address for member in members.members}


def is_established(members: fleet_pb2.MemberList) -> bool:
    """Return whether no founding can replace a list, as far as it tells.

    Lists that operators or former releases have written say nothing of it.
    """
    return members.established or not members.required_voters


def count_enlarging_votes(members: fleet_pb2.MemberList) -> int:
    """Return how many voters may replace a list by a larger one; 0 for none.

    Where there are fewer voters than required, an entry is committed on a
    majority of the required ones, so that a smaller majority of the present
    ones includes one that holds it. Two such majorities, also of the list
    with one voter more, have a voter in common if the number is odd. For an
    even number the result is that of the list before, as long as this one
    isn't known to be committed.
    """
    voters = sum(member.voter for member in members.members)
    if voters >= members.required_voters or not members.established:
        return 0
    is_odd = voters % 2 == 1
    return (voters + 1) // 2 if is_odd == members.settled else 0


def may_enlarge(members: fleet_pb2.MemberList) -> bool:
    """Return whether some voters of a list may replace it by a larger one."""
    return members.settled and count_enlarging_votes(members) > 0


def has_same_voters(
    members: fleet_pb2.MemberList, others: fleet_pb2.MemberList
) -> bool:
    """Return whether two lists have the same data folders as voters."""
    first, second = (
        {(m.host, m.disk) for m in some.members if m.voter}
        for some in (members, others)
    )
    return first == second


def is_voter(
    members: fleet_pb2.MemberList, host: str, disk_id: bytes, initial: bool
) -> bool:
    """Return whether a host's data folder belongs to a voter."""
    member = find_member(members, host, disk_id, initial)
    return member is not None and member.voter


def find_member(
    members: fleet_pb2.MemberList, host: str, disk_id: bytes, initial: bool
) -> fleet_pb2.Member | None:
    """Return the member that a host's data folder belongs to, if any."""
    for member in members.members:
        if member.host == host and is_member_disk(member, disk_id, initial):
            return member
    return None


def plan_step(
    members: fleet_pb2.MemberList,
    replies: Mapping[str, MemberReply],
    commit_index: int,
) -> fleet_pb2.MemberList | None:
    """Return the next member list that the leader should propose, if any.

    Each step adds or removes at most one voter, so that the majorities
    before and after it overlap.

    Parameters
    ----------
    members : MemberList
        The newest list, which must be committed.
    replies : mapping of str to MemberReply
        Index of the last entry that each host holds, by host.
    commit_index : int
        Index of the last committed entry.
    """
    for plan in (
        _establish,
        _settle,
        _assign_disk,
        _add_learner,
        _promote_learner,
        _remove_replaced,
    ):
        changed = fleet_pb2.MemberList()
        changed.CopyFrom(members)
        if plan(changed, replies, commit_index):
            return _reset_settled(changed, members)
    return None


def _reset_settled(
    changed: fleet_pb2.MemberList, members: fleet_pb2.MemberList
) -> fleet_pb2.MemberList:
    """Return a changed list, which isn't settled if other folders vote."""
    if not has_same_voters(changed, members):
        changed.settled = False
    return changed


def _establish(
    members: fleet_pb2.MemberList,
    replies: Mapping[str, MemberReply],
    commit_index: int,
) -> bool:
    """Record that the list is committed, before anything else changes."""
    if is_established(members):
        return False
    members.established = True
    return True


def _settle(
    members: fleet_pb2.MemberList,
    replies: Mapping[str, MemberReply],
    commit_index: int,
) -> bool:
    """Record that a list of too few voters is committed."""
    voters = sum(member.voter for member in members.members)
    if members.settled or voters >= members.required_voters:
        return False
    members.settled = True
    return True


def _assign_disk(
    members: fleet_pb2.MemberList,
    replies: Mapping[str, MemberReply],
    commit_index: int,
) -> bool:
    """Fill in the id of a data folder that is missing in the list."""
    for member in members.members:
        reply = replies.get(member.host)
        if member.disk or reply is None:
            continue
        if reply.initial or not member.voter:
            member.disk = reply.disk_id
            return True
    return False


def _add_learner(
    members: fleet_pb2.MemberList,
    replies: Mapping[str, MemberReply],
    commit_index: int,
) -> bool:
    """Add a member's new data folder as a learner."""
    for host, address in find_addresses(members).items():
        reply = replies.get(host)
        disks = {m.disk for m in members.members if m.host == host}
        if reply is not None and reply.disk_id not in disks:
            members.members.add(host=host, address=address, disk=reply.disk_id)
            return True
    return False


def _promote_learner(
    members: fleet_pb2.MemberList,
    replies: Mapping[str, MemberReply],
    commit_index: int,
) -> bool:
    """Make a learner that has caught up a voter."""
    for member in members.members:
        reply = replies.get(member.host)
        if member.voter or reply is None or reply.disk_id != member.disk:
            continue
        if reply.value >= commit_index:
            member.voter = True
            return True
    return False


def _remove_replaced(
    members: fleet_pb2.MemberList,
    replies: Mapping[str, MemberReply],
    commit_index: int,
) -> bool:
    """Remove a member, or its old data folder, once its replacement votes."""
    for position, member in enumerate(members.members):
        replaced = member.replaces
        if member.voter and replaced:
            member.replaces = ""
            if _remove_first(members, replaced):
                return True
        later = [m for m in members.members[position + 1 :] if m.voter]
        if any(m.host == member.host for m in later):
            del members.members[position]
            return True
    return False


def _remove_first(members: fleet_pb2.MemberList, host: str) -> bool:
    for position, member in enumerate(members.members):
        if member.host == host:
            del members.members[position]
            return True
    return False


def change_members(
    members: fleet_pb2.MemberList, change: fleet_pb2.MemberChange
) -> fleet_pb2.MemberList | str:
    """Return the members after the first step of a requested change.

    An added or replacing member starts as a learner; `plan_step` makes it a
    voter later and then removes the member that it replaces.

    Parameters
    ----------
    members : MemberList
        The newest list, which must be committed.
    change : MemberChange

    Returns
    -------
    MemberList or str
        A string names the reason of a refusal.
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
    del changed.members[:]
    changed.members.extend(kept)
    if any(member.voter for member in before):
        changed.settled = False
    return changed
