"""One small test for each failure found; each fails without its fix."""

from __future__ import annotations

from rushweir import interface as i


def checked(gateway, rid):
    """Fire the check timer of the last send of the request."""
    ref = next(k for k, (r, _) in gateway.policy.checks.items() if r == rid)
    return gateway.do(i.Timer(ref))


def test_room_is_cut_when_the_list_arrives(gateway):
    """Before the first timer a gateway had no room and took one request only."""
    assert all(isinstance(gateway.ask()[1], i.Send) for _ in range(8))


def test_start_room_is_split_over_the_gateways(make):
    """Twelve gateways each took a few attempts a server, and drowned the fleet (ieb69a0)."""
    few, many = make(gateways=3), make(gateways=12)
    assert sum(many.policy.room.sizes) * 4 == sum(few.policy.room.sizes)


def test_attempt_on_a_silent_server_is_taken_back_and_repeated(gateway):
    rid, send = gateway.ask()
    gateway.now += 900.0
    assert checked(gateway, rid) == [i.Cancel(rid, 0)]
    (again,) = gateway.end(rid, send, i.Result.CANCELLED)
    assert isinstance(again, i.Send)
    assert again.server != send.server


def test_attempt_on_a_server_that_answers_others_is_left_alone(gateway):
    """Time-outs below the aim cost a second copy of every long request on quiet days."""
    rid, send = gateway.ask()
    others = [gateway.ask() for _ in range(8)]
    gateway.now += 300.0
    for other, sent in others:
        gateway.end(other, sent, spent=300.0)
    gateway.now += 600.0
    assert checked(gateway, rid) == []


COUNTER = i.Sharing(counter=True, counter_timeout_ms=80.0)


def test_crowded_counter_is_called_less(make):
    """Eleven gateways kept calling a counter that could answer one call in four (i26bb2f)."""
    calls = {}
    for result in (i.Result.OK, i.Result.TIMEOUT):
        gateway, calls[result] = make(servers=60, sharing=COUNTER), 0
        quota = gateway.policy.quota
        for k in range(50):
            gateway.ask("rated", customer=f"c{k}")
        for _ in range(1000):
            gateway.now += 1.0
            for c in quota.customers.values():
                for action in quota.count(c, gateway.now, True):
                    calls[result] += 1
                    quota.counted(i.Counted(action.name, result, action.amount), gateway.now)
    assert 0 < calls[i.Result.TIMEOUT] * 5 < calls[i.Result.OK]


def test_start_room_counts_units_not_attempts(make):
    """Where a request counts several units, a pressed gateway's least room held one or two (ieaa566)."""
    gateway = make(sharing=i.Sharing(largest_request=6.0))
    assert sum(gateway.policy.room.sizes) == 3.5 * sum(make().policy.room.sizes)


def test_cheap_work_leaves_room_for_dear_work(make):
    """In overload requests of every worth were refused alike (dakar-fann overload, ieaa566)."""
    gateway = make(servers=12)
    admitted = {"look": 0, "book": 0}
    for k in range(64):
        cls = "book" if k % 2 else "look"
        admitted[cls] += isinstance(gateway.ask(cls=cls)[1], i.Send)
    assert admitted["look"] > 0
    assert admitted["book"] > 1.3 * admitted["look"]


def test_lost_zone_of_two_is_set_aside(make):
    """With half of the servers gone none was ejected; one attempt in four met no connection (i04d1b7)."""
    gateway, lost = make(servers=8), 0
    for _ in range(120):
        rid, send = gateway.ask()
        gateway.now += 10.0
        gone = int(send.server[1:]) % 2 == 1
        lost += gone
        gateway.end(rid, send, i.Result.CONNECT_FAILED if gone else i.Result.OK, 200.0, settled=True)
    assert lost <= 24
