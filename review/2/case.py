"""An upstream leaves while the one reader of the store is cut off."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import harness as h  # noqa: E402

DRAIN_S = 2.0    # drain-ms
LONGER_S = 0.4   # an upstream serves a little longer than drain-ms
CUT_S = 4.0      # core_cut, for_s = 4.0, one machine
ROUNDS = 8
TENANTS = [{"name": "coopers", "api-keys": ["key-coopers"], "priority": 1,
            "rate-per-s": 500, "burst": 500}]


async def probe(machine, sent, stop):
    """A deposit at one machine 20 times a second."""
    async def one(name):
        try:
            status, _, _ = await h.request(
                machine.ip, machine.port("outbound"), "POST", "/deposit/a", {
                    "Host": "shop.example", "X-Lentilcross-Request-Id": name,
                    "X-Lentilcross-Deadline-Ms": "3000",
                    "X-Lentilcross-Key": "key-coopers"}, b"a deposit")
        except OSError:
            status = 0
        sent[name][2] = status
    tasks = []
    while not stop.is_set():
        name = h.new_id()
        sent[name] = [machine, time.monotonic(), None]
        tasks.append(asyncio.ensure_future(one(name)))
        await asyncio.sleep(0.05)
    await asyncio.wait(tasks, timeout=4)


async def case(fleet, record):
    machines = [fleet.add("wp-%d" % i, "wp", "oak") for i in range(1, 5)]
    ups = {m: h.Upstream(m, "oak", fleet.store, record, work_s=0.3)
           for m in machines}
    await fleet.store.put("op/config", h.configuration(
        1, [h.route("/deposit/", "oak", kind="non_idempotent", priority=0)],
        ["oak"], TENANTS))
    for up in ups.values():
        await up.start()
    await fleet.start(settle_s=4.0)
    broken = 0
    for turn in range(ROUNDS):
        name = fleet.store.reader_of_registry()
        cut = next((m for m in machines if m.name == name), None)
        if cut is None:
            raise h.CannotRun("no machine reads the store")
        record("round %d: %s reads the store" % (turn, name))
        sent, stop = {}, asyncio.Event()
        others = [m for m in machines if m is not cut]
        probes = [asyncio.ensure_future(probe(m, sent, stop)) for m in others]
        await asyncio.sleep(0.3)
        if h.TROUBLE:
            fleet.store.cut_off(cut)
            record("cut      %s from the store" % name)
        leaving = ups[others[turn % len(others)]]
        await leaving.drain()
        acknowledged = time.monotonic()
        record("acknowledged: %s on %s drains" % (leaving.id,
                                                  leaving.machine.name))
        await asyncio.sleep(DRAIN_S + LONGER_S)
        await leaving.stop()
        record("end      of " + leaving.id)
        await asyncio.sleep(CUT_S - DRAIN_S - LONGER_S)
        if h.TROUBLE:
            fleet.store.heal(cut)
            record("healed   " + name)
        stop.set()
        await asyncio.gather(*probes)
        late = [a for a in leaving.arrivals
                if a["id"] in sent and a["at"] > acknowledged + DRAIN_S]
        last = max((a["at"] for a in leaving.arrivals if a["id"] in sent),
                   default=acknowledged)
        record("the last request reached it %.3f s after the "
               "acknowledgement" % (last - acknowledged))
        for a in late:
            run = next((r for r in leaving.runs if r["id"] == a["id"]), None)
            record("BROKEN   %s from %s reached %s %.3f s after the "
                   "acknowledgement; answered %s%s" % (
                       a["id"], sent[a["id"]][0].name, leaving.id,
                       a["at"] - acknowledged, sent[a["id"]][2],
                       "" if run is None or run["whole"] else
                       ": cut when the upstream ended"))
        broken += len(late)
        fresh = h.Upstream(leaving.machine, "oak", fleet.store, record,
                           work_s=0.3)
        ups[leaving.machine] = fresh
        await fresh.start()
        await asyncio.sleep(4.0)
    record("%d requests broke the rule" % broken)
    return h.BROKEN if broken else h.HELD


sys.exit(h.main(FOLDER, case, {"wp": "manitoba"}))
