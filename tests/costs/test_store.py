"""The ledger's files: recovery from kills, torn ends, a full disk and damage."""

from __future__ import annotations

import os
import signal
import subprocess
import sys

import pytest

from rushweir.costs import log
from rushweir.costs.ledger import CostLedger
from rushweir.costs.store import Store, StoreError

WRITER = """
import sys
from pathlib import Path
from rushweir.costs.ledger import CostLedger
from rushweir.costs.store import Store
ledger = CostLedger(1000.0)
store = Store(Path(sys.argv[1]), ledger)
k = len(ledger.entries) + ledger.account("p").attempts["settled"]
while True:
    store.append_open(ledger.open(0.0, f"r{k}", 0, "p", "x", 1000))
    store.append_transition(ledger.record_answer(1.0, f"r{k}", 0, k), 1.0)
    store.flush()
    print(k, flush=True)
    k += 1
    if k % 50 == 0:
        store.compact()
"""


def fill(store, ledger, count, start=0):
    for k in range(start, start + count):
        store.append_open(ledger.open(float(k), f"r{k}", 0, "p", "x", 1000))
        if k % 3:
            store.append_transition(ledger.record_answer(float(k), f"r{k}", 0, k), float(k))
    store.flush()


def open_store(folder):
    ledger = CostLedger(1000.0)
    return Store(folder, ledger), ledger


def test_ledger_is_restored_with_and_without_a_snapshot(tmp_path):
    store, ledger = open_store(tmp_path)
    fill(store, ledger, 30)
    store.close()
    store, reopened = open_store(tmp_path)
    assert reopened.dump() == ledger.dump() and store.replayed_records == 50
    store.compact()
    fill(store, reopened, 10, 30)
    store.compact()
    fill(store, reopened, 5, 40)
    store.close()
    store, reopened_twice = open_store(tmp_path)
    assert reopened_twice.dump() == reopened.dump() and store.generation == 2
    assert sorted(p.name for p in tmp_path.iterdir()) == ["costs-2.log", "costs.snap"]
    store.close()


def test_torn_end_is_truncated_and_appended_to(tmp_path):
    store, ledger = open_store(tmp_path)
    fill(store, ledger, 5)
    store.close()
    with open(store.path, "ab") as file:
        file.write(log.encode(["open", "torn", 0, "p", "x", 1, 0.0, False])[:-3])
    store, reopened = open_store(tmp_path)
    assert store.torn_bytes and reopened.dump() == ledger.dump()
    fill(store, reopened, 1, 5)
    store.close()
    store, reopened_twice = open_store(tmp_path)
    assert reopened_twice.dump() == reopened.dump() and not store.torn_bytes
    store.close()


def test_crash_before_or_after_the_snapshot_is_replaced_keeps_every_charge_once(tmp_path):
    store, ledger = open_store(tmp_path)
    fill(store, ledger, 10)
    # Crash after the new log was created, before the snapshot was replaced: the old pair is used.
    (tmp_path / "costs-1.log").write_bytes(log.MAGIC)
    store.close()
    store, reopened = open_store(tmp_path)
    assert reopened.dump() == ledger.dump() and not (tmp_path / "costs-1.log").exists()
    old_log = store.path.read_bytes()
    store.compact()
    # Crash before the old log was deleted: its transitions are not applied twice.
    store.close()
    (tmp_path / "costs-0.log").write_bytes(old_log)
    store, reopened_twice = open_store(tmp_path)
    assert reopened_twice.dump() == ledger.dump() and not (tmp_path / "costs-0.log").exists()
    store.close()


def test_damaged_log_or_snapshot_is_reported(tmp_path):
    store, ledger = open_store(tmp_path)
    fill(store, ledger, 10)
    store.compact()
    fill(store, ledger, 10, 10)
    store.close()
    log_bytes = store.path.read_bytes()
    store.path.write_bytes(log_bytes[:60] + b"\xff" + log_bytes[61:])
    with pytest.raises(StoreError, match="costs-1.log: damaged at byte"):
        open_store(tmp_path)
    store.path.write_bytes(log_bytes)
    snapshot = (tmp_path / "costs.snap").read_bytes()
    (tmp_path / "costs.snap").write_bytes(snapshot[:-5] + b"0" + snapshot[-4:])
    with pytest.raises(StoreError, match="costs.snap: another format, or altered"):
        open_store(tmp_path)


def test_full_disk_during_compaction_leaves_the_old_files_in_use(tmp_path):
    store, ledger = open_store(tmp_path)
    fill(store, ledger, 10)
    (tmp_path / "costs.snap.new").symlink_to("/dev/full")
    with pytest.raises(OSError, match="No space left"):
        store.compact()
    assert store.generation == 0 and not (tmp_path / "costs-1.log").exists()
    (tmp_path / "costs.snap.new").unlink()
    fill(store, ledger, 10, 10)
    store.close()
    store, reopened = open_store(tmp_path)
    assert reopened.dump() == ledger.dump()
    store.close()


def test_kill_at_any_moment_loses_or_repeats_no_charge(tmp_path):
    last_printed = -1
    for round_ in range(3):
        with subprocess.Popen([sys.executable, "-c", WRITER, str(tmp_path)], stdout=subprocess.PIPE) as process:
            for _ in range(130 + 7 * round_):
                last_printed = int(process.stdout.readline())
            os.kill(process.pid, signal.SIGKILL)
            remaining_lines = process.stdout.read().split()
            last_printed = int(remaining_lines[-1]) if remaining_lines else last_printed
        store, ledger = open_store(tmp_path)
        settled_count = ledger.account("p").attempts["settled"]
        # All that were printed are stored, and at most one that was not printed yet.
        assert settled_count in (last_printed + 1, last_printed + 2)
        assert ledger.account("p").settled == sum(range(settled_count))
        assert not ledger.account("p").open or list(ledger.entries) == [(f"r{settled_count}", 0)]
        for request_id, attempt in list(ledger.entries):
            store.append_transition(ledger.record_never_ran(0.0, request_id, attempt), 0.0)
        store.close()
