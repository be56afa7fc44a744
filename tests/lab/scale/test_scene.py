"""What a scale run is made of, without any process: draws, settings, kinds of datagrams, what fits."""

from __future__ import annotations

import random
from collections import Counter
from pathlib import Path

import pytest

from rushweir.config.load import load
from rushweir.fleet import frame as f
from rushweir.fronts.credentials import digest
from rushweir.lab.scale import bounds
from rushweir.lab.scale.accounts import Account, kind_of, minus
from rushweir.lab.scale.drawn import Requests
from rushweir.lab.scale.scene import KEY_FILE, PARTNERS_FILE, Scene, partners_text, settings_text, tenant
from rushweir.peers.datagram import Peers


def written(scene: Scene, folder: Path) -> Path:
    """The settings of a scene's first ingress, as files."""
    digests = [digest(tenant(k)) for k in range(scene.customers())]
    (folder / PARTNERS_FILE).write_text(partners_text(scene, digests))
    (folder / KEY_FILE).touch(mode=0o600)
    (folder / KEY_FILE).write_text("ab" * 32)
    (folder / "one").mkdir()
    file = folder / "one" / "ingress.conf"
    seeds = [("127.0.0.1", 7000 + k) for k in range(3)]
    file.write_text(settings_text(scene, 0, "ws://127.0.0.1:9/list", seeds, seeds[0]))
    return file


def test_the_settings_of_a_scene_are_good_and_hold_all_tenants(tmp_path: Path):
    scene = Scene(25)
    config = load(written(scene, tmp_path))
    partners = config.file.partners
    assert len(partners) == scene.customers() == 575
    shared = [name for name, p in partners.items() if p.plan == "ceiling"]
    assert shared == [tenant(k) for k in range(9)]
    assert all(partners[name].through[1] == 9 for name in shared)
    assert {p.plan for p in partners.values()} == {"ceiling", "large", "middle", "small"}
    assert config.fleet().slot_count == 25


def test_a_tail_is_heavy_and_all_ingresses_together_draw_by_it():
    scene = Scene(25)
    tail, counts = scene.tail(), Counter[int]()
    for number in range(scene.members):
        requests = Requests(random.Random(number), scene.tenants_at(number, tail), scene.route_table())
        for _ in range(2_000):
            k, cls, units = requests.draw()
            counts[k] += 1
            first, doors = scene.through(k)
            assert (number - first) % scene.members < doors, "came through a door that is not its own"
            assert cls in ("look", "book") and units in (1.0, 2.0)
    total = sum(counts.values())
    for k in (0, 3, 8, 20):
        assert counts[k] / total == pytest.approx(tail.share(k), rel=0.2)
    assert counts[0] > 50 * counts[100]


def test_datagrams_are_told_apart_by_what_they_are_for():
    frames = f.Frames(5, b"k" * 16, 10)
    kinds = {f.PROBE: "probe", f.ROWS: "table", f.JOIN: "join", f.ACCEPT: "chair", f.SLOT_REQUEST: "chair"}
    kinds[f.APP] = "budgets"
    for kind, name in kinds.items():
        assert kind_of(frames.pack(kind, 6, [1])) == name
    assert kind_of(Peers(0, 2, b"k" * 16).pack(1e12, 1, "abc")) == "mail"
    assert kind_of(b"") == kind_of(b"\x07x") == kind_of(bytes([f.VERSION, 250])) == "other"


def test_an_account_counts_by_kind_and_by_the_peers_that_are_watched():
    account = Account([("127.0.0.1", 1)])
    account.send("mail", 100, ("127.0.0.1", 1))
    account.send("mail", 50, ("127.0.0.1", 2))
    before = account.dump()
    assert before["sent"] == {"mail": [2, 150]}
    assert before["by_peer"] == {"127.0.0.1:1": {"sent": {"mail": [1, 100]}, "got": {}}}
    later = {"sent": {"mail": [5, 400], "probe": [1, 60]}, "place": "3", "has": {"open": True}}
    assert minus(later, before) == {"sent": {"mail": [3, 250], "probe": [1, 60]}, "place": "3", "has": {"open": True}}


MACHINE = bounds.Machine(8, 24_000.0, 20_000.0, 20_000, 90_000)


@pytest.mark.parametrize(
    ("scene", "machine", "why"),
    [
        (Scene(5_000), MACHINE, r"^\d+\.\d GiB of memory needed, 11\.7 allowed"),
        (Scene(200), bounds.Machine(8, 24_000.0, 900.0, 20_000, 90_000), r"GiB of memory needed, 0\.9 allowed"),
        (Scene(200), bounds.Machine(8, 24_000.0, 20_000.0, 256, 90_000), r"descriptors .* ulimit -n allows 256"),
        (Scene(200, real=100), bounds.Machine(8, 1e9, 1e9, 1 << 30, 50), r"^112 processes needed, 50 allowed"),
        (Scene(700, real=400), bounds.Machine(8, 1e9, 1e9, 1 << 30, 90_000), r"processes needed, 300 allowed"),
    ],
)
def test_what_does_not_fit_is_refused_with_a_line_that_says_what_is_short(scene, machine, why):
    with pytest.raises(bounds.DoesNotFit, match=why):
        bounds.fits(bounds.need_of(scene, machine.cores), machine)


def test_the_sizes_that_are_measured_fit_a_machine_of_eight_cores():
    for size in (25, 50, 100, 150):
        bounds.fits(bounds.need_of(Scene(size, 3), 8), MACHINE)
    assert bounds.workers(Scene(25, 3), 8) == 2
    assert bounds.workers(Scene(150, 3), 8) == 7


def test_the_short_form_fits_the_descriptors_that_machines_commonly_allow():
    machine = bounds.Machine(2, 7_000.0, 6_000.0, 1_024, 7_000)
    bounds.fits(bounds.need_of(Scene(53, 3, per_s=5.0), 2), machine)


def test_the_seeds_of_a_scene_are_hollow_ones():
    with pytest.raises(ValueError, match="3 hollow ones at least"):
        Scene(5, real=3)
