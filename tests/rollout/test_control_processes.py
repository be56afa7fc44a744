"""Three processes of ``rushweir control``, and faults among them."""

from __future__ import annotations

import asyncio
import signal

import pytest

from tests.rollout.control_harness import ControlHarness

ALL = (0, 1, 2)


async def change_is_committed_at_all_processes(harness: ControlHarness) -> None:
    leader = await harness.wait_for_event(ALL, "leads")
    for n, k in enumerate((leader, (leader + 1) % 3, (leader + 2) % 3), 1):  # whichever process is asked
        answer = await harness.propose(k, f"p{n}", b"x")
        assert (answer["number"], answer["why"]) == (n, "")
    await harness.wait_for_version(3)
    for k in ALL:
        assert await harness.objects(k) == {"p1": (1, b"x"), "p2": (2, b"x"), "p3": (3, b"x")}
        status = await harness.ask(k, "status")
        assert status["majority"] and status["leader"] == leader and status["linked"] == [x for x in ALL if x != k]


async def leader_is_killed_amid_proposals(harness: ControlHarness) -> None:
    leader = await harness.wait_for_event(ALL, "leads")
    other, counts = (leader + 1) % 3, harness.line_counts()
    while (await harness.ask(other, "status"))["leader"] != leader:  # until it knows the leader it refuses all
        await harness.wait_for_line()
    proposals = {n: await harness.start_proposal(leader if n % 2 else other, f"p{n}", b"%d" % n) for n in range(40)}
    for n in range(0, 40, 4):
        await proposals[n]
        if n == 8:
            await harness.kill(leader)
    confirmed, unsure = {}, set()
    for n, task in proposals.items():
        try:
            answer = await task
        except (AssertionError, ConnectionError):  # it ended before it answered
            unsure.add(n)
            continue
        if answer["number"] is not None:
            assert answer["number"] not in confirmed.values()
            confirmed[n] = answer["number"]
        elif answer["unsure"]:
            unsure.add(n)
    assert confirmed
    await harness.wait_for_event([k for k in ALL if k != leader], "leads", counts)
    await harness.start(leader)
    last = await harness.propose(other, "last", b"x")
    await harness.wait_for_version(last["number"])
    objects = [await harness.objects(k) for k in ALL]
    assert objects[0] == objects[1] == objects[2]
    for n, version in confirmed.items():
        assert objects[0][f"p{n}"] == (version, b"%d" % n)
    assert {int(name[1:]) for name in objects[0] if name != "last"} <= set(confirmed) | unsure


async def stopped_leader_continues_and_commits_nothing(harness: ControlHarness) -> None:
    """It is stopped until another leads and has committed a change. The proposal that it gets meanwhile waits in its
    socket, and is the first thing that it reads when it continues."""
    old = await harness.wait_for_event(ALL, "leads")
    others = [k for k in ALL if k != old]
    first = await harness.propose(old, "p", b"1")
    await harness.wait_for_version(first["number"])
    counts = harness.line_counts()
    harness.processes[old].send_signal(signal.SIGSTOP)
    new = await harness.wait_for_event(others, "leads", counts)
    second = await harness.propose(new, "p", b"2")
    assert second["number"] == 2
    late = await harness.start_proposal(old, "p", b"late", first["number"])
    harness.processes[old].send_signal(signal.SIGCONT)
    answer = await late
    assert answer["number"] is None and not answer["unsure"]  # not committed, whichever process it was forwarded to
    await harness.wait_for_version(2)
    assert [await harness.objects(k) for k in ALL] == [{"p": (2, b"2")}] * 3
    assert (await harness.ask(old, "status"))["leader"] == new


async def concurrent_proposals_of_one_object(harness: ControlHarness) -> None:
    leader = await harness.wait_for_event(ALL, "leads")
    base = (await harness.propose(leader, "p", b"0"))["number"]
    await harness.wait_for_version(base)
    for _ in range(5):
        proposals = [await harness.start_proposal(k, "p", b"%d" % k, base) for k in ALL]
        answers = [await task for task in proposals]
        won = [answer for answer in answers if answer["number"] is not None]
        assert len(won) == 1 and won[0]["number"] == base + 1
        for answer in answers:
            conflict = f"partner p: changed by change set {base + 1} by operator-"
            assert answer in won or conflict in answer["why"]
        base += 1
        await harness.wait_for_version(base)
    other = await harness.propose(0, "q", b"x", base - 3)  # an older base, but no later change of this object
    assert other["number"] == base + 1


async def isolated_leader_refuses_changes(harness: ControlHarness) -> None:
    old = await harness.wait_for_event(ALL, "leads")
    others = [k for k in ALL if k != old]
    await harness.wait_for_version((await harness.propose(old, "p", b"1"))["number"])
    counts = harness.line_counts()
    harness.isolate(old)
    pending = await harness.start_proposal(old, "p", b"alone")
    await harness.wait_for_event([old], "no_majority", counts)
    answer = await pending
    assert answer["number"] is None and answer["unsure"] and "not confirmed by a majority" in answer["why"]
    answer = await harness.propose(old, "p", b"alone")
    assert answer["number"] is None and not answer["unsure"] and "no majority" in answer["why"]
    status = await harness.ask(old, "status")
    assert not status["majority"] and status["number"] == 1 and await harness.objects(old) == {"p": (1, b"1")}
    new = await harness.wait_for_event(others, "leads", counts)
    answer = await harness.propose(new, "p", b"2")
    assert answer["number"] == 2 and (await harness.ask(new, "status"))["majority"]
    harness.reconnect(old)
    await harness.wait_for_version(2)
    assert [await harness.objects(k) for k in ALL] == [{"p": (2, b"2")}] * 3


async def torn_damaged_and_missing_files(harness: ControlHarness) -> None:
    leader = await harness.wait_for_event(ALL, "leads")
    k, other = (leader + 1) % 3, leader
    for n in range(1, 4):
        await harness.propose(other, f"p{n}", b"x")
    await harness.wait_for_version(3)
    await harness.kill(k)
    good = harness.log_file(k).read_bytes()
    harness.log_file(k).write_bytes(good + good[-20:-5])  # an interrupted write
    counts = harness.line_counts()
    await harness.start(k)
    await harness.wait_for_event([k], "torn_end_cut", counts, at=len(good), bytes=15)
    await harness.propose(other, "p4", b"x")
    await harness.wait_for_version(4)
    await harness.kill(k)
    await harness.start(k)  # nothing was written after the torn end
    await harness.wait_for_version(4)
    await harness.kill(k)
    data = bytearray(harness.log_file(k).read_bytes())
    data[len(good) // 2] ^= 1
    harness.log_file(k).write_bytes(data)
    await harness.start(k, listens=False)
    assert await harness.processes[k].wait() == 1
    assert f"state-{k}/steps.log: byte " in harness.other_output[k][-1]
    harness.log_file(k).unlink()
    await harness.start(k, listens=False)
    assert await harness.processes[k].wait() == 1
    assert f"state-{k}/steps.log: is not there" in harness.other_output[k][-1]
    assert "--new" in harness.other_output[k][-1]
    assert (await harness.propose(other, "p5", b"x"))["number"] == 5  # two are a majority


async def process_with_an_older_disk_takes_no_part(harness: ControlHarness) -> None:
    leader = await harness.wait_for_event(ALL, "leads")
    k, third = (leader + 1) % 3, (leader + 2) % 3
    await harness.wait_for_version((await harness.propose(leader, "p", b"1"))["number"])
    await harness.kill(k)
    copy = harness.log_file(k).read_bytes()
    await harness.start(k)
    for n in (2, 3):
        await harness.wait_for_version((await harness.propose(leader, "p", b"%d" % n))["number"])
    await harness.kill(k)
    harness.log_file(k).write_bytes(copy)
    counts = harness.line_counts()
    await harness.start(k)
    await harness.wait_for_event([k], "disk_outdated", counts)
    status = await harness.ask(k, "status")
    assert status["role"] == "outdated" and not status["majority"] and status["number"] <= 3
    answer = await harness.propose(k, "p", b"never")
    assert answer["number"] is None and "older copy" in answer["why"]
    assert (await harness.propose(leader, "p", b"4"))["number"] == 4
    await harness.wait_for_version(4, (leader, third))
    await harness.kill(third)  # one alone is no majority: the process with the older disk does not count
    await harness.wait_for_event([leader], "no_majority", counts)
    answer = await harness.propose(leader, "p", b"5")
    assert answer["number"] is None
    await harness.start(third)
    await harness.wait_for_event((leader, third), "leads", counts)
    await harness.wait_for_version(4, (leader, third))
    assert (await harness.objects(third))["p"] == (4, b"4")


async def lost_disk_is_rebuilt_from_the_others(harness: ControlHarness) -> None:
    leader = await harness.wait_for_event(ALL, "leads")
    lost, other = leader, (leader + 1) % 3
    for n in range(1, 5):
        await harness.propose(leader, f"p{n}", b"x")
    await harness.wait_for_version(4)
    await asyncio.gather(*(harness.kill(k) for k in ALL))
    copies = [x for k in ALL if k != lost for x in ("--from", str(harness.log_file(k)))]
    await harness.start(lost, *copies, listens=False)
    assert await harness.processes[lost].wait() == 1 and "is not overwritten" in harness.other_output[lost][-1]
    harness.log_file(lost).unlink()
    await harness.start(lost, *copies[:2], listens=False)
    assert await harness.processes[lost].wait() == 1 and "all the others are needed" in harness.other_output[lost][-1]
    counts = harness.line_counts()
    await harness.start(lost, *copies)
    await harness.start(other)  # the third stays down: the rebuilt one is part of the majority
    leader = await harness.wait_for_event((lost, other), "leads", counts)
    assert (await harness.propose(leader, "p5", b"x"))["number"] == 5
    await harness.wait_for_version(5, (lost, other))
    await harness.start((lost + 2) % 3)
    await harness.wait_for_version(5)
    for k in ALL:
        assert await harness.objects(k) == {f"p{n}": (n, b"x") for n in range(1, 6)}


async def all_processes_are_killed(harness: ControlHarness) -> None:
    leader = await harness.wait_for_event(ALL, "leads")
    for n in range(1, 6):
        answer = await harness.propose(leader, f"p{n}", b"%d" % n)
        assert answer["number"] == n
    counts = harness.line_counts()
    await asyncio.gather(*(harness.kill(k) for k in ALL))
    await asyncio.gather(*(harness.start(k) for k in ALL))
    leader = await harness.wait_for_event(ALL, "leads", counts)
    assert (await harness.propose(leader, "p6", b"6"))["number"] == 6
    await harness.wait_for_version(6)
    for k in ALL:
        assert await harness.objects(k) == {f"p{n}": (n, b"%d" % n) for n in range(1, 7)}


async def altered_messages_are_refused(harness: ControlHarness) -> None:
    leader = await harness.wait_for_event(ALL, "leads")
    await harness.wait_for_version((await harness.propose(leader, "p", b"1"))["number"])
    counts = harness.line_counts()
    for relay in harness.relays.values():
        relay.chunks_to_corrupt = 3
    await harness.wait_for_event(ALL, "control_unlinked", counts)
    async with asyncio.timeout(30.0):
        while (answer := await harness.propose(leader, "p", b"2"))["number"] is None:
            await harness.wait_for_line()  # no leader yet, or not a lasting one
    await harness.wait_for_version(answer["number"])
    assert len({tuple((await harness.objects(k)).items()) for k in ALL}) == 1


SCENARIOS = (
    change_is_committed_at_all_processes, leader_is_killed_amid_proposals,
    stopped_leader_continues_and_commits_nothing,
    concurrent_proposals_of_one_object, isolated_leader_refuses_changes, torn_damaged_and_missing_files,
    process_with_an_older_disk_takes_no_part, lost_disk_is_rebuilt_from_the_others,
    all_processes_are_killed, altered_messages_are_refused,
)  # fmt: skip


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.__name__)
def test_scenario(scenario, tmp_path):
    async def run() -> None:
        harness = ControlHarness(tmp_path)
        try:
            await harness.start_all()
            await scenario(harness)
        finally:
            await harness.stop_all()

    asyncio.run(run())


def test_process_with_another_key_is_refused(tmp_path):
    async def run() -> None:
        harness = ControlHarness(tmp_path)
        try:
            await harness.start_all(keys=(b"k" * 32, b"k" * 32, b"other" * 8))
            leader = await harness.wait_for_event((0, 1), "leads")
            await harness.wait_for_event((0, 1), "control_link_refused")
            assert (await harness.propose(leader, "p", b"1"))["number"] == 1
            assert not (await harness.ask(2, "status"))["majority"]
            assert (await harness.propose(2, "p", b"2"))["number"] is None
        finally:
            await harness.stop_all()

    asyncio.run(run())
