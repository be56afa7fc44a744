"""Three processes of ``rushweir control``, and faults between them."""

from __future__ import annotations

import asyncio
import signal

import pytest

from tests.rollout.control_stage import Stage

ALL = (0, 1, 2)


async def a_change_is_in_force_at_all(s: Stage) -> None:
    leader = await s.line(ALL, "leads")
    for n, k in enumerate((leader, (leader + 1) % 3, (leader + 2) % 3), 1):  # whoever is asked
        told = await s.propose(k, f"p{n}", b"x")
        assert (told["number"], told["why"]) == (n, "")
    await s.all_have(3)
    for k in ALL:
        assert await s.objects(k) == {"p1": (1, b"x"), "p2": (2, b"x"), "p3": (3, b"x")}
        status = await s.ask(k, "status")
        assert status["majority"] and status["leader"] == leader and status["linked"] == [x for x in ALL if x != k]


async def the_leader_is_killed_in_the_middle(s: Stage) -> None:
    leader = await s.line(ALL, "leads")
    other, marks = (leader + 1) % 3, s.marks()
    while (await s.ask(other, "status"))["leader"] != leader:  # it has to hear of it first, or refuses all
        await s.more()
    asked = {n: await s.proposing(leader if n % 2 else other, f"p{n}", b"%d" % n) for n in range(40)}
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
    await s.line([k for k in ALL if k != leader], "leads", marks)
    await s.start(leader)
    last = await s.propose(other, "last", b"x")
    await s.all_have(last["number"])
    found = [await s.objects(k) for k in ALL]
    assert found[0] == found[1] == found[2]
    for n, number in confirmed.items():
        assert found[0][f"p{n}"] == (number, b"%d" % n)
    assert {int(name[1:]) for name in found[0] if name != "last"} <= set(confirmed) | unsure


async def a_stopped_leader_goes_on_in_its_belief(s: Stage) -> None:
    """Stopped until another leads and took changes; what it is asked then waits in its socket, and is the first that
    it sees when it goes on."""
    old = await s.line(ALL, "leads")
    others = [k for k in ALL if k != old]
    first = await s.propose(old, "p", b"1")
    await s.all_have(first["number"])
    marks = s.marks()
    s.processes[old].send_signal(signal.SIGSTOP)
    new = await s.line(others, "leads", marks)
    second = await s.propose(new, "p", b"2")
    assert second["number"] == 2
    late = await s.proposing(old, "p", b"late", first["number"])
    s.processes[old].send_signal(signal.SIGCONT)
    told = await late
    assert told["number"] is None and not told["unsure"]  # nobody confirms it, whoever it was passed on to
    await s.all_have(2)
    assert [await s.objects(k) for k in ALL] == [{"p": (2, b"2")}] * 3
    assert (await s.ask(old, "status"))["leader"] == new


async def two_operators_at_once(s: Stage) -> None:
    leader = await s.line(ALL, "leads")
    base = (await s.propose(leader, "p", b"0"))["number"]
    await s.all_have(base)
    for _ in range(5):
        asked = [await s.proposing(k, "p", b"%d" % k, base) for k in ALL]
        told = [await task for task in asked]
        won = [t for t in told if t["number"] is not None]
        assert len(won) == 1 and won[0]["number"] == base + 1
        for t in told:
            assert t in won or f"partner p: changed by change set {base + 1} by operator-" in t["why"]
        base += 1
        await s.all_have(base)
    other = await s.propose(0, "q", b"x", base - 3)  # older, but nobody changed that one
    assert other["number"] == base + 1


async def who_is_cut_off_takes_no_change_and_says_so(s: Stage) -> None:
    old = await s.line(ALL, "leads")
    others = [k for k in ALL if k != old]
    await s.all_have((await s.propose(old, "p", b"1"))["number"])
    marks = s.marks()
    s.cut(old)
    waits = await s.proposing(old, "p", b"alone")
    await s.line([old], "no_majority", marks)
    told = await waits
    assert told["number"] is None and told["unsure"] and "not confirmed by a majority" in told["why"]
    told = await s.propose(old, "p", b"alone")
    assert told["number"] is None and not told["unsure"] and "no majority" in told["why"]
    status = await s.ask(old, "status")
    assert not status["majority"] and status["number"] == 1 and await s.objects(old) == {"p": (1, b"1")}
    new = await s.line(others, "leads", marks)
    told = await s.propose(new, "p", b"2")
    assert told["number"] == 2 and (await s.ask(new, "status"))["majority"]
    s.cut(old, False)
    await s.all_have(2)
    assert [await s.objects(k) for k in ALL] == [{"p": (2, b"2")}] * 3


async def torn_damaged_and_missing_files(s: Stage) -> None:
    leader = await s.line(ALL, "leads")
    k, other = (leader + 1) % 3, leader
    for n in range(1, 4):
        await s.propose(other, f"p{n}", b"x")
    await s.all_have(3)
    await s.kill(k)
    good = s.log(k).read_bytes()
    s.log(k).write_bytes(good + good[-20:-5])  # a write that was interrupted
    marks = s.marks()
    await s.start(k)
    await s.line([k], "torn_end_cut", marks, at=len(good), bytes=15)
    await s.propose(other, "p4", b"x")
    await s.all_have(4)
    await s.kill(k)
    await s.start(k)  # nothing was written behind the torn end
    await s.all_have(4)
    await s.kill(k)
    whole = bytearray(s.log(k).read_bytes())
    whole[len(good) // 2] ^= 1
    s.log(k).write_bytes(whole)
    await s.start(k, listens=False)
    assert await s.processes[k].wait() == 1
    assert f"state-{k}/steps.log: byte " in s.texts[k][-1]
    s.log(k).unlink()
    await s.start(k, listens=False)
    assert await s.processes[k].wait() == 1
    assert f"state-{k}/steps.log: is not there" in s.texts[k][-1] and "--new" in s.texts[k][-1]
    assert (await s.propose(other, "p5", b"x"))["number"] == 5  # two are a majority


async def an_old_disk_is_left_out(s: Stage) -> None:
    leader = await s.line(ALL, "leads")
    k, third = (leader + 1) % 3, (leader + 2) % 3
    await s.all_have((await s.propose(leader, "p", b"1"))["number"])
    await s.kill(k)
    copy = s.log(k).read_bytes()
    await s.start(k)
    for n in (2, 3):
        await s.all_have((await s.propose(leader, "p", b"%d" % n))["number"])
    await s.kill(k)
    s.log(k).write_bytes(copy)
    marks = s.marks()
    await s.start(k)
    await s.line([k], "disk_outdated", marks)
    status = await s.ask(k, "status")
    assert status["role"] == "outdated" and not status["majority"] and status["number"] <= 3
    told = await s.propose(k, "p", b"never")
    assert told["number"] is None and "older copy" in told["why"]
    assert (await s.propose(leader, "p", b"4"))["number"] == 4
    await s.all_have(4, (leader, third))
    await s.kill(third)  # one alone is no majority, whatever the third with its old disk would say
    await s.line([leader], "no_majority", marks)
    told = await s.propose(leader, "p", b"5")
    assert told["number"] is None
    await s.start(third)
    await s.line((leader, third), "leads", marks)
    await s.all_have(4, (leader, third))
    assert (await s.objects(third))["p"] == (4, b"4")


async def a_lost_disk_is_made_anew_of_the_others(s: Stage) -> None:
    leader = await s.line(ALL, "leads")
    lost, other = leader, (leader + 1) % 3
    for n in range(1, 5):
        await s.propose(leader, f"p{n}", b"x")
    await s.all_have(4)
    await asyncio.gather(*(s.kill(k) for k in ALL))
    copies = [x for k in ALL if k != lost for x in ("--from", str(s.log(k)))]
    await s.start(lost, *copies, listens=False)
    assert await s.processes[lost].wait() == 1 and "is not overwritten" in s.texts[lost][-1]
    s.log(lost).unlink()
    await s.start(lost, *copies[:2], listens=False)
    assert await s.processes[lost].wait() == 1 and "all the others are needed" in s.texts[lost][-1]
    marks = s.marks()
    await s.start(lost, *copies)
    await s.start(other)  # the third stays away: what was made anew is one of a majority
    leader = await s.line((lost, other), "leads", marks)
    assert (await s.propose(leader, "p5", b"x"))["number"] == 5
    await s.all_have(5, (lost, other))
    await s.start((lost + 2) % 3)
    await s.all_have(5)
    for k in ALL:
        assert await s.objects(k) == {f"p{n}": (n, b"x") for n in range(1, 6)}


async def all_are_killed(s: Stage) -> None:
    leader = await s.line(ALL, "leads")
    for n in range(1, 6):
        told = await s.propose(leader, f"p{n}", b"%d" % n)
        assert told["number"] == n
    marks = s.marks()
    await asyncio.gather(*(s.kill(k) for k in ALL))
    await asyncio.gather(*(s.start(k) for k in ALL))
    leader = await s.line(ALL, "leads", marks)
    assert (await s.propose(leader, "p6", b"6"))["number"] == 6
    await s.all_have(6)
    for k in ALL:
        assert await s.objects(k) == {f"p{n}": (n, b"%d" % n) for n in range(1, 7)}


async def altered_bytes_are_refused(s: Stage) -> None:
    leader = await s.line(ALL, "leads")
    await s.all_have((await s.propose(leader, "p", b"1"))["number"])
    marks = s.marks()
    for relay in s.relays.values():
        relay.spoil = 3
    await s.line(ALL, "control_unlinked", marks)
    async with asyncio.timeout(30.0):
        while (told := await s.propose(leader, "p", b"2"))["number"] is None:
            await s.more()  # nobody leads yet, or not for good
    await s.all_have(told["number"])
    assert len({tuple((await s.objects(k)).items()) for k in ALL}) == 1


SCENES = (
    a_change_is_in_force_at_all, the_leader_is_killed_in_the_middle, a_stopped_leader_goes_on_in_its_belief,
    two_operators_at_once, who_is_cut_off_takes_no_change_and_says_so, torn_damaged_and_missing_files,
    an_old_disk_is_left_out, a_lost_disk_is_made_anew_of_the_others, all_are_killed, altered_bytes_are_refused,
)  # fmt: skip


@pytest.mark.parametrize("scene", SCENES, ids=lambda s: s.__name__)
def test_scene(scene, tmp_path):
    async def play() -> None:
        stage = Stage(tmp_path)
        try:
            await stage.up()
            await scene(stage)
        finally:
            await stage.down()

    asyncio.run(play())


def test_who_has_another_key_is_no_control_process(tmp_path):
    async def play() -> None:
        stage = Stage(tmp_path)
        try:
            await stage.up(keys=(b"k" * 32, b"k" * 32, b"other" * 8))
            leader = await stage.line((0, 1), "leads")
            await stage.line((0, 1), "control_link_refused")
            assert (await stage.propose(leader, "p", b"1"))["number"] == 1
            assert not (await stage.ask(2, "status"))["majority"]
            assert (await stage.propose(2, "p", b"2"))["number"] is None
        finally:
            await stage.down()

    asyncio.run(play())
