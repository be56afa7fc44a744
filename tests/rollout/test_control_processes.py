"""Three processes of ``rushweir control``, and faults between them."""

from __future__ import annotations

import asyncio
import signal

import pytest

from tests.rollout.control_harness import ControlHarness

ALL = (0, 1, 2)


async def a_change_is_in_force_at_all(s: ControlHarness) -> None:
    leader = await s.wait_for_event(ALL, "leads")
    for n, k in enumerate((leader, (leader + 1) % 3, (leader + 2) % 3), 1):  # whoever is asked
        told = await s.propose(k, f"p{n}", b"x")
        assert (told["number"], told["why"]) == (n, "")
    await s.wait_for_version(3)
    for k in ALL:
        assert await s.objects(k) == {"p1": (1, b"x"), "p2": (2, b"x"), "p3": (3, b"x")}
        status = await s.ask(k, "status")
        assert status["majority"] and status["leader"] == leader and status["linked"] == [x for x in ALL if x != k]


async def the_leader_is_killed_in_the_middle(s: ControlHarness) -> None:
    leader = await s.wait_for_event(ALL, "leads")
    other, marks = (leader + 1) % 3, s.line_counts()
    while (await s.ask(other, "status"))["leader"] != leader:  # it has to hear of it first, or refuses all
        await s.wait_for_line()
    asked = {n: await s.start_proposal(leader if n % 2 else other, f"p{n}", b"%d" % n) for n in range(40)}
    for n in range(0, 40, 4):
        await asked[n]
        if n == 8:
            await s.kill(leader)
    confirmed, unsure = {}, set()
    for n, task in asked.items():
        try:
            told = await task
        except (AssertionError, ConnectionError):  # it ended before it answered
            unsure.add(n)
            continue
        if told["number"] is not None:
            assert told["number"] not in confirmed.values()
            confirmed[n] = told["number"]
        elif told["unsure"]:
            unsure.add(n)
    assert confirmed
    await s.wait_for_event([k for k in ALL if k != leader], "leads", marks)
    await s.start(leader)
    last = await s.propose(other, "last", b"x")
    await s.wait_for_version(last["number"])
    found = [await s.objects(k) for k in ALL]
    assert found[0] == found[1] == found[2]
    for n, number in confirmed.items():
        assert found[0][f"p{n}"] == (number, b"%d" % n)
    assert {int(name[1:]) for name in found[0] if name != "last"} <= set(confirmed) | unsure


async def a_stopped_leader_goes_on_in_its_belief(s: ControlHarness) -> None:
    """Stopped until another leads and took changes; what it is asked then waits in its socket, and is the first that
    it sees when it goes on."""
    old = await s.wait_for_event(ALL, "leads")
    others = [k for k in ALL if k != old]
    first = await s.propose(old, "p", b"1")
    await s.wait_for_version(first["number"])
    marks = s.line_counts()
    s.processes[old].send_signal(signal.SIGSTOP)
    new = await s.wait_for_event(others, "leads", marks)
    second = await s.propose(new, "p", b"2")
    assert second["number"] == 2
    late = await s.start_proposal(old, "p", b"late", first["number"])
    s.processes[old].send_signal(signal.SIGCONT)
    told = await late
    assert told["number"] is None and not told["unsure"]  # nobody confirms it, whoever it was passed on to
    await s.wait_for_version(2)
    assert [await s.objects(k) for k in ALL] == [{"p": (2, b"2")}] * 3
    assert (await s.ask(old, "status"))["leader"] == new


async def two_operators_at_once(s: ControlHarness) -> None:
    leader = await s.wait_for_event(ALL, "leads")
    base = (await s.propose(leader, "p", b"0"))["number"]
    await s.wait_for_version(base)
    for _ in range(5):
        asked = [await s.start_proposal(k, "p", b"%d" % k, base) for k in ALL]
        told = [await task for task in asked]
        won = [t for t in told if t["number"] is not None]
        assert len(won) == 1 and won[0]["number"] == base + 1
        for t in told:
            assert t in won or f"partner p: changed by change set {base + 1} by operator-" in t["why"]
        base += 1
        await s.wait_for_version(base)
    other = await s.propose(0, "q", b"x", base - 3)  # older, but nobody changed that one
    assert other["number"] == base + 1


async def who_is_cut_off_takes_no_change_and_says_so(s: ControlHarness) -> None:
    old = await s.wait_for_event(ALL, "leads")
    others = [k for k in ALL if k != old]
    await s.wait_for_version((await s.propose(old, "p", b"1"))["number"])
    marks = s.line_counts()
    s.isolate(old)
    waits = await s.start_proposal(old, "p", b"alone")
    await s.wait_for_event([old], "no_majority", marks)
    told = await waits
    assert told["number"] is None and told["unsure"] and "not confirmed by a majority" in told["why"]
    told = await s.propose(old, "p", b"alone")
    assert told["number"] is None and not told["unsure"] and "no majority" in told["why"]
    status = await s.ask(old, "status")
    assert not status["majority"] and status["number"] == 1 and await s.objects(old) == {"p": (1, b"1")}
    new = await s.wait_for_event(others, "leads", marks)
    told = await s.propose(new, "p", b"2")
    assert told["number"] == 2 and (await s.ask(new, "status"))["majority"]
    s.reconnect(old)
    await s.wait_for_version(2)
    assert [await s.objects(k) for k in ALL] == [{"p": (2, b"2")}] * 3


async def torn_damaged_and_missing_files(s: ControlHarness) -> None:
    leader = await s.wait_for_event(ALL, "leads")
    k, other = (leader + 1) % 3, leader
    for n in range(1, 4):
        await s.propose(other, f"p{n}", b"x")
    await s.wait_for_version(3)
    await s.kill(k)
    good = s.log_file(k).read_bytes()
    s.log_file(k).write_bytes(good + good[-20:-5])  # a write that was interrupted
    marks = s.line_counts()
    await s.start(k)
    await s.wait_for_event([k], "torn_end_cut", marks, at=len(good), bytes=15)
    await s.propose(other, "p4", b"x")
    await s.wait_for_version(4)
    await s.kill(k)
    await s.start(k)  # nothing was written behind the torn end
    await s.wait_for_version(4)
    await s.kill(k)
    whole = bytearray(s.log_file(k).read_bytes())
    whole[len(good) // 2] ^= 1
    s.log_file(k).write_bytes(whole)
    await s.start(k, listens=False)
    assert await s.processes[k].wait() == 1
    assert f"state-{k}/steps.log: byte " in s.other_output[k][-1]
    s.log_file(k).unlink()
    await s.start(k, listens=False)
    assert await s.processes[k].wait() == 1
    assert f"state-{k}/steps.log: is not there" in s.other_output[k][-1] and "--new" in s.other_output[k][-1]
    assert (await s.propose(other, "p5", b"x"))["number"] == 5  # two are a majority


async def an_old_disk_is_left_out(s: ControlHarness) -> None:
    leader = await s.wait_for_event(ALL, "leads")
    k, third = (leader + 1) % 3, (leader + 2) % 3
    await s.wait_for_version((await s.propose(leader, "p", b"1"))["number"])
    await s.kill(k)
    copy = s.log_file(k).read_bytes()
    await s.start(k)
    for n in (2, 3):
        await s.wait_for_version((await s.propose(leader, "p", b"%d" % n))["number"])
    await s.kill(k)
    s.log_file(k).write_bytes(copy)
    marks = s.line_counts()
    await s.start(k)
    await s.wait_for_event([k], "disk_outdated", marks)
    status = await s.ask(k, "status")
    assert status["role"] == "outdated" and not status["majority"] and status["number"] <= 3
    told = await s.propose(k, "p", b"never")
    assert told["number"] is None and "older copy" in told["why"]
    assert (await s.propose(leader, "p", b"4"))["number"] == 4
    await s.wait_for_version(4, (leader, third))
    await s.kill(third)  # one alone is no majority, whatever the third with its old disk would say
    await s.wait_for_event([leader], "no_majority", marks)
    told = await s.propose(leader, "p", b"5")
    assert told["number"] is None
    await s.start(third)
    await s.wait_for_event((leader, third), "leads", marks)
    await s.wait_for_version(4, (leader, third))
    assert (await s.objects(third))["p"] == (4, b"4")


async def a_lost_disk_is_made_anew_of_the_others(s: ControlHarness) -> None:
    leader = await s.wait_for_event(ALL, "leads")
    lost, other = leader, (leader + 1) % 3
    for n in range(1, 5):
        await s.propose(leader, f"p{n}", b"x")
    await s.wait_for_version(4)
    await asyncio.gather(*(s.kill(k) for k in ALL))
    copies = [x for k in ALL if k != lost for x in ("--from", str(s.log_file(k)))]
    await s.start(lost, *copies, listens=False)
    assert await s.processes[lost].wait() == 1 and "is not overwritten" in s.other_output[lost][-1]
    s.log_file(lost).unlink()
    await s.start(lost, *copies[:2], listens=False)
    assert await s.processes[lost].wait() == 1 and "all the others are needed" in s.other_output[lost][-1]
    marks = s.line_counts()
    await s.start(lost, *copies)
    await s.start(other)  # the third stays away: what was made anew is one of a majority
    leader = await s.wait_for_event((lost, other), "leads", marks)
    assert (await s.propose(leader, "p5", b"x"))["number"] == 5
    await s.wait_for_version(5, (lost, other))
    await s.start((lost + 2) % 3)
    await s.wait_for_version(5)
    for k in ALL:
        assert await s.objects(k) == {f"p{n}": (n, b"x") for n in range(1, 6)}


async def all_are_killed(s: ControlHarness) -> None:
    leader = await s.wait_for_event(ALL, "leads")
    for n in range(1, 6):
        told = await s.propose(leader, f"p{n}", b"%d" % n)
        assert told["number"] == n
    marks = s.line_counts()
    await asyncio.gather(*(s.kill(k) for k in ALL))
    await asyncio.gather(*(s.start(k) for k in ALL))
    leader = await s.wait_for_event(ALL, "leads", marks)
    assert (await s.propose(leader, "p6", b"6"))["number"] == 6
    await s.wait_for_version(6)
    for k in ALL:
        assert await s.objects(k) == {f"p{n}": (n, b"%d" % n) for n in range(1, 7)}


async def altered_bytes_are_refused(s: ControlHarness) -> None:
    leader = await s.wait_for_event(ALL, "leads")
    await s.wait_for_version((await s.propose(leader, "p", b"1"))["number"])
    marks = s.line_counts()
    for relay in s.relays.values():
        relay.chunks_to_corrupt = 3
    await s.wait_for_event(ALL, "control_unlinked", marks)
    async with asyncio.timeout(30.0):
        while (told := await s.propose(leader, "p", b"2"))["number"] is None:
            await s.wait_for_line()  # nobody leads yet, or not for good
    await s.wait_for_version(told["number"])
    assert len({tuple((await s.objects(k)).items()) for k in ALL}) == 1


SCENES = (
    a_change_is_in_force_at_all, the_leader_is_killed_in_the_middle, a_stopped_leader_goes_on_in_its_belief,
    two_operators_at_once, who_is_cut_off_takes_no_change_and_says_so, torn_damaged_and_missing_files,
    an_old_disk_is_left_out, a_lost_disk_is_made_anew_of_the_others, all_are_killed, altered_bytes_are_refused,
)  # fmt: skip


@pytest.mark.parametrize("scene", SCENES, ids=lambda s: s.__name__)
def test_scene(scene, tmp_path):
    async def play() -> None:
        stage = ControlHarness(tmp_path)
        try:
            await stage.start_all()
            await scene(stage)
        finally:
            await stage.stop_all()

    asyncio.run(play())


def test_who_has_another_key_is_no_control_process(tmp_path):
    async def play() -> None:
        stage = ControlHarness(tmp_path)
        try:
            await stage.start_all(keys=(b"k" * 32, b"k" * 32, b"other" * 8))
            leader = await stage.wait_for_event((0, 1), "leads")
            await stage.wait_for_event((0, 1), "control_link_refused")
            assert (await stage.propose(leader, "p", b"1"))["number"] == 1
            assert not (await stage.ask(2, "status"))["majority"]
            assert (await stage.propose(2, "p", b"2"))["number"] is None
        finally:
            await stage.stop_all()

    asyncio.run(play())
