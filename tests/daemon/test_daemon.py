"""A daemon from start to end: its folder, its socket, reloads, its end, and what may go wrong on the way."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import json
import os
import signal
import socket
import stat
import sys
import termios
from collections import Counter

from rushweir.cli.ask import Daemon, NoDaemon, Refused
from rushweir.fronts.credentials import digest
from rushweir.lab.standins.client import kind
from rushweir.lab.standins.model import NodeKind

WORK = {"data": {"work": 1}}


# --- the folder and the socket ----------------------------------------------------------------------


def test_a_second_daemon_is_told_who_holds_the_folder(house):
    async def body(h):
        await h.nodes(1)
        first = await h.start()
        second = await h.spawn(stderr=asyncio.subprocess.PIPE)
        _, err = await second.communicate()
        assert second.returncode == 1
        assert f"run is held by process {first.pid}, ingress 0, since 20" in err.decode()
        assert h.ask("status")["pid"] == first.pid

    house(body)


def test_the_socket_is_its_owners_only_and_goes_with_the_daemon(house):
    async def body(h):
        await h.nodes(1)
        daemon = await h.start()
        assert stat.S_IMODE(os.stat(h.socket).st_mode) == 0o600
        code, out, _ = await h.run("stop")
        assert code == 0 and "0 requests open" in out
        assert await asyncio.wait_for(daemon.wait(), 10) == 0
        assert not h.socket.exists()
        assert (await h.run("status"))[0] == 3

    house(body)


def test_a_daemon_starts_again_after_a_kill(house):
    async def body(h):
        await h.nodes(2)
        daemon = await h.start(ready=2)
        one = h.fleet.nodes[0].address
        h.ask("drain", address=one)
        kept = h.tmp / "run" / "list.json"
        await h.until(lambda: kept.exists() and one.encode() in kept.read_bytes().split(b"servers")[0])
        daemon.kill()
        await daemon.wait()
        # Killed in the middle of writing: the new copy is torn, the old one is whole.
        (h.tmp / "run" / "list.json.new").write_bytes(b'{"format": 2, "serv')
        h.list.down()  # the list can't help
        await h.start(ready=1)
        found = h.ask("status")
        assert found["nodes"] == 2 and found["by_hand"] == [one] and found["list_age_ms"] is None

    house(body)


def test_a_torn_list_on_disk_is_told_and_the_daemon_serves(house):
    async def body(h):
        await h.nodes(1)
        (h.tmp / "run").mkdir()
        (h.tmp / "run" / "list.json").write_bytes(b'{"format": 2, "servers": [')
        await h.start()
        assert [e["cause"] for e in h.ask("events", search="kept_list")] == ["kept_list_refused"]

    house(body)


def test_a_full_disk_costs_the_copy_and_nothing_else(house):
    async def body(h):
        await h.nodes(1)
        (h.tmp / "run").mkdir()
        # /dev/full takes nothing (full(4)): what is written beside the list goes there.
        (h.tmp / "run" / "list.json.new").symlink_to("/dev/full")
        await h.start()
        await h.until(lambda: h.ask("events", search="list_not_kept"))
        assert "No space left" in h.ask("events", search="list_not_kept")[0]["fields"]["why"]
        client = await h.client()
        assert kind(await client.ask("position", WORK)) == "served"
        assert not (h.tmp / "run" / "list.json").exists()

    house(body)


def test_a_reader_of_the_log_that_stalls_holds_nothing_up(house):
    async def body(h):
        await h.nodes(1)
        h.write("log {\n    level debug\n    each-cause 100000/s\n    at-once 100000\n}\n")
        reading, writing = os.pipe()
        daemon = await h.start(stderr=writing)
        os.close(writing)
        client = await h.client()
        one = h.fleet.nodes[0].address
        operator = Daemon(h.socket)
        for k in range(1500):  # lines for more than a pipe holds
            operator.ask("readmit" if k % 2 else "drain", address=one)
        operator.close()
        waiting = fcntl.ioctl(reading, termios.FIONREAD, b"    ")
        assert int.from_bytes(waiting, sys.byteorder) > 60_000
        assert kind(await client.ask("position", WORK)) in ("served", "refused")
        daemon.terminate()
        assert await asyncio.wait_for(daemon.wait(), 10) == 0
        os.close(reading)

    house(body)


# --- the operators' socket --------------------------------------------------------------------------


def test_bad_questions_are_answered_and_harm_nobody(house):
    async def body(h):
        await h.nodes(1)
        await h.start()
        reader, writer = await asyncio.open_unix_connection(str(h.socket), limit=1 << 20)
        for line, expected in (
            (b"hello", "not JSON"), (b"[]", "batch holds at least"),
            (b'{"jsonrpc":"2.0","id":1,"result":2}', "one request"),
            (b'{"jsonrpc":"2.0","id":1,"method":"nix"}', "known are"),
            (b'{"jsonrpc":"2.0","id":1,"method":"nodes","params":[1]}', "an object"),
            (b'{"jsonrpc":"2.0","id":1,"method":"nodes","params":{"colour":1}}', "unexpected keyword"),
            (b'{"jsonrpc":"2.0","id":1,"method":"nodes","params":{"first":-1}}', "first: a whole number"),
            (b'{"jsonrpc":"2.0","id":1,"method":"nodes","params":{"order":"x"}}', "order: one of"),
            (b'{"jsonrpc":"2.0","id":1,"method":"drain","params":{"address":"9.9.9.9:1"}}', "no node 9.9.9.9:1"),
            (b'{"jsonrpc":"2.0","id":1,"method":"request","params":{"id":"x"}}', "no course of x"),
            (b'{"jsonrpc":"2.0","id":1,"method":"handover.done"}', "not known"),
        ):  # fmt: skip
            writer.write(line + b"\n")
            assert expected in json.loads(await reader.readline())["error"]["message"], line
        writer.write(b"x" * 100_000)
        assert "more than" in json.loads(await reader.readline())["error"]["message"]
        with contextlib.suppress(ConnectionResetError):  # closed with some of the line unread
            assert await reader.read() == b""
        writer.close()
        many = [socket.socket(socket.AF_UNIX) for _ in range(40)]
        for s in many:
            s.connect(str(h.socket))
        for s in many:
            s.close()
        await h.until(lambda: not isinstance(_quiet(h), Exception))

    house(body)


def _quiet(h):
    try:
        return h.ask("status")
    except (NoDaemon, Refused) as problem:
        return problem


def test_the_commands(house):
    async def body(h):
        await h.nodes(2)
        name = '<script>alert(1)</script> \\"A\\" \u202e\u200b'
        h.write(f'partner "{name}" {{\n    plan wide\n    credential {digest("x")}\n}}\n')
        await h.start(ready=2)
        client = await h.client()
        for _ in range(5):
            assert kind(await client.ask("position", WORK)) == "served"
        refused = await client.ask("nothing", WORK)
        assert refused.error["data"]["reason"] == "unknown_class"
        one = h.fleet.nodes[0].address
        code, out, _ = await h.run("status")
        assert code == 0 and "2 ready of 2" in out and "5 served, 1 refused" in out
        code, out, _ = await h.run("nodes", "--json")
        assert code == 0 and sum(r["results"].get("ok", 0) for r in json.loads(out)["rows"]) == 5
        code, out, _ = await h.run("partners", "script")
        assert code == 0 and "alert(1)" in out and "\u202e" not in out and "1-1 of 1 partners" in out
        code, out, _ = await h.run("partners", "--heaviest")
        assert "hotel" in out and "script" not in out
        code, out, _ = await h.run("refusals")
        assert "unknown_class" in out
        code, out, _ = await h.run("drain", one)
        assert (code, out) == (0, f"{one} is draining, drained by hand\n")
        code, out, _ = await h.run("nodes", "draining")
        assert one in out and "drained by hand" in out
        code, out, _ = await h.run("drain", one, "--readmit")
        assert (code, out) == (0, f"{one} is ready\n")
        assert (await h.run("drain", "nowhere:1"))[0] == 1
        code, out, _ = await h.run("events")
        assert "drained_by_hand" in out and "readmitted_by_hand" in out
        code, out, _ = await h.run("top", "--once")
        assert code == 0 and "nothing is shed" in out and "unknown_class" in out
        code, out, _ = await h.run("status", "--file", str(h.file), env={"RUSHWEIR_SOCKET": ""})
        assert code in (0, 2)
        metrics = h.ask("metrics")
        assert 'rushweir_answers_total{class="position",kind="served"} 5.0' in metrics
        assert "hotel" not in metrics

    house(body)


def test_a_daemon_without_nodes_says_so_by_its_exit_code(house):
    async def body(h):
        await h.start(ready=0)
        code, out, _ = await h.run("status")
        assert code == 1 and "NO: no nodes" in out

    house(body)


def test_what_became_of_a_request_is_found_by_its_id(house):
    async def body(h):
        await h.nodes(1, NodeKind("n", cores=1, slots=4))
        await h.start()
        client = await h.client()
        answer = await client.ask("pay", {"within_ms": 150, "data": {"work": 2000}})
        assert kind(answer) == "failed"
        id = answer.error["data"]["request"]
        await h.until(lambda: h.ask("requests"))
        code, out, _ = await h.run("request", id)
        assert code == 0 and "pay of hotel" in out and "timeout" in out and h.fleet.nodes[0].address in out

    house(body)


# --- other settings ---------------------------------------------------------------------------------


def test_reload_applies_what_changed_and_drops_nobody(house):
    async def body(h):
        await h.nodes(1, NodeKind("n", cores=8, slots=50))
        daemon = await h.start()
        client = await h.client()
        future = client.open[client.send("pay", {"data": {"work": 300}})]
        await h.until(lambda: h.ask("status")["attempts_out"] == 1)
        h.write(change=("burst 100000", "burst 90000"))
        code, out, _ = await h.run("reload")
        assert code == 0 and "+ plan wide burst 90000" in out and "reloaded, 1 changes" in out
        assert kind(await future) == "served" and kind(await client.ask("position", WORK)) == "served"
        h.write(change=("burst 100000", "burst 80000"))
        daemon.send_signal(signal.SIGHUP)
        await h.until(lambda: ["80000"] in [r["words"] for r in h.ask("settings") if r["path"][-1] == "burst"])
        assert len(h.ask("events", search="reloaded")) == 2

    house(body)


def test_reload_with_one_bad_line_changes_nothing(house):
    async def body(h):
        await h.nodes(1)
        await h.start()
        client = await h.client()
        h.write(change=("burst 100000", "burst many"), more="partner late {\n    plan wide\n}\n")
        code, _, err = await h.run("reload")
        assert code == 2 and "main.conf:32:11: plan wide burst: expected a number" in err and "credential" in err
        assert ["100000"] in [r["words"] for r in h.ask("settings")]
        assert h.ask("partners")["total"] == 1
        assert kind(await client.ask("position", WORK)) == "served"
        assert h.ask("events", search="reload_refused")[0]["fields"]["problems"] == 2

    house(body)


def test_what_needs_a_restart_is_refused_whole(house):
    async def body(h):
        await h.nodes(1)
        await h.start()
        more = "partner late {\n    plan wide\n    credential " + digest("l") + "\n}\n"
        h.write(change=("zone a", "zone b"), more=more)
        code, _, err = await h.run("reload")
        assert code == 2 and "main.conf:2:6: zone: a change needs a restart" in err
        assert h.ask("partners")["total"] == 1

    house(body)


def test_reload_that_removes_a_plan_in_use(house):
    async def body(h):
        await h.nodes(1, NodeKind("n", cores=8, slots=50))
        more = "plan gone {{\n    rate 9/s\n    burst 9\n}}\npartner app {{\n    plan gone\n    credential {}\n}}\n"
        h.write(more.format(digest("app")))
        await h.start()
        client = await h.client()
        app = await type(client)(h.records).connect(h.url, "app")
        h.clients.append(app)
        future = app.open[app.send("pay", {"data": {"work": 300}})]
        await h.until(lambda: h.ask("status")["attempts_out"] == 1)
        # The plan alone: its partner would have none, so nothing of it is taken.
        h.write("partner app {\n    plan gone\n    credential " + digest("app") + "\n}\n")
        code, _, err = await h.run("reload")
        assert code == 2 and "no plan 'gone'" in err
        h.write()
        assert (await h.run("reload"))[0] == 0
        assert kind(await future) == "served"
        await asyncio.wait_for(app.closed.wait(), 5)
        assert app.close_code == 1008
        assert kind(await client.ask("position", WORK)) == "served"

    house(body)


def test_two_reloads_at_once_come_one_after_the_other(house):
    async def body(h):
        await h.nodes(1)
        await h.start()
        h.write(change=("burst 100000", "burst 5000"))
        found = await asyncio.gather(*(h.aask("reload") for _ in range(4)))
        assert sorted(len(f["changes"]) for f in found) == [0, 0, 0, 1]
        assert len(h.ask("events", search="reloaded")) == 4

    house(body)


# --- the end, and the next --------------------------------------------------------------------------


def test_sigterm_in_a_burst_answers_all_that_was_taken(house):
    async def body(h):
        await h.nodes(2, NodeKind("n", cores=8, slots=100, queue=400))
        daemon = await h.start(ready=2)
        clients = [await h.client() for _ in range(10)]
        futures = [c.open[c.send("position", {"data": {"work": 50}})] for c in clients for _ in range(40)]
        await h.until(lambda: h.ask("status")["attempts_out"] > 0)
        daemon.terminate()
        late = [c.open[c.send("position", {"data": {"work": 1}})] for c in clients]
        answers = Counter(kind(a) for a in await asyncio.wait_for(asyncio.gather(*futures, *late), 10))
        assert answers["served"] > 0 and set(answers) <= {"served", "refused"}
        await asyncio.gather(*(c.closed.wait() for c in clients))
        assert {c.close_code for c in clients} == {1001}
        assert await asyncio.wait_for(daemon.wait(), 10) == 0

    house(body)


def test_told_twice_to_stop_it_stops_at_once(house):
    async def body(h):
        await h.nodes(1, NodeKind("n", cores=1, slots=4))
        daemon = await h.start()
        client = await h.client()
        future = client.open[client.send("pay", {"data": {"work": 100_000}})]
        await h.until(lambda: h.ask("status")["attempts_out"] == 1)
        daemon.terminate()
        await asyncio.sleep(0.1)
        daemon.terminate()
        assert await asyncio.wait_for(daemon.wait(), 3) == 1
        assert kind(await future) == "failed"

    house(body)


def test_readiness_is_told_to_a_service_manager(house):
    async def body(h):
        await h.nodes(1)
        with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as manager:
            manager.bind(str(h.tmp / "notify"))
            manager.settimeout(5)
            daemon = await h.start(env={**os.environ, "NOTIFY_SOCKET": str(h.tmp / "notify")})
            assert f"READY=1\nMAINPID={daemon.pid}" in manager.recv(4096).decode()
            await h.aask("reload")
            assert manager.recv(4096).decode().startswith("RELOADING=1\nMONOTONIC_USEC=")
            assert manager.recv(4096) == b"READY=1"
            daemon.terminate()
            assert await asyncio.to_thread(manager.recv, 4096) == b"STOPPING=1"

    house(body)
