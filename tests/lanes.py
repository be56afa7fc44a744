"""Which tests run in parallel where pytest has several workers (``-n 4``, as ``make test`` does).

Tests of processes and sockets depend on timeouts and on how fast processes end. One worker runs each lane of them,
one test after another, as without workers; every other file is a lane of its own. So at most two tests with processes
run at once, beside two that only compute.
"""

from __future__ import annotations

from typing import Any

# In the order in which they run: tests that tolerate a busy machine come first, while all workers have work. Those
# that check timeouts and aims come last, when the files that only compute are done.
LANES = {
    "fleets": (
        "tests/lab/scale/test_short.py",
        "tests/lab/scale/test_processes.py",
        "tests/budgets/test_processes.py",
        "tests/budgets/test_halved.py",
        "tests/lab/test_hold.py",
        "tests/lab/test_day.py",
        "tests/lab/test_soak.py",
        "tests/fleet/test_processes.py",
    ),
    "processes": (
        "tests/costs/test_store.py",
        "tests/lab/test_pure.py",
        "tests/rollout/test_control_change.py",
        "tests/rollout/test_control_watch.py",
        "tests/rollout/test_control_processes.py",
        "tests/rollout/test_log_compaction_processes.py",
        "tests/rollout/test_rollout_processes.py",
        "tests/fleet/test_serve.py",
        "tests/daemon/test_console.py",
        "tests/daemon/test_daemon.py",
        "tests/daemon/test_ending.py",
        "tests/daemon/test_handover.py",
        "tests/daemon/test_take_over_rollout.py",
        "tests/ingress/test_end_to_end.py",
        "tests/ingress/test_failures.py",
        "tests/ingress/test_own_overload.py",
        "tests/ingress/test_policy_faults.py",
        "tests/ingress/test_reload.py",
        "tests/edge/test_closing.py",
        "tests/edge/test_deploy.py",
        "tests/edge/test_endings.py",
        "tests/edge/test_held_memory.py",
        "tests/edge/test_leaving.py",
        "tests/edge/test_accepting.py",
        "tests/edge/test_process.py",
        "tests/edge/test_refused_connections.py",
        "tests/edge/test_shell.py",
        "tests/edge/test_signals.py",
    ),
}
LANE_OF = {file: lane for lane, files in LANES.items() for file in files}
RANK = {file: rank for rank, file in enumerate(LANE_OF)}


def file_of(nodeid: str) -> str:
    """The file of a test."""
    return nodeid.partition("::")[0]


def rank(nodeid: str) -> int:
    """A test's place in the order: lanes first, since they take longest, then the others in their own order."""
    return RANK.get(file_of(nodeid), len(RANK))


def scheduler(config: Any, log: Any) -> Any:
    """A scheduler that gives each lane to one worker, in order. Its plugin is loaded only with several workers."""
    from xdist.scheduler import LoadScopeScheduling

    class Lanes(LoadScopeScheduling):
        def _split_scope(self, nodeid: str) -> str:
            return LANE_OF.get(file_of(nodeid), file_of(nodeid))

    config.option.loadscopereorder = False  # in the order of the lanes, not by their numbers of tests
    return Lanes(config, log)
