"""A configuration change while the one reader of the store is cut off."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import harness as h  # noqa: E402

APPLY_S = 2.0    # config-apply-ms
CUT_S = 4.0      # core_cut, for_s = 4.0, one machine
ROUNDS = 9
TENANTS = [{"name": "coopers", "api-keys": ["key-coopers"], "priority": 1,
            "rate-per-s": 500, "burst": 500}]


def document(version, service):
    return h.configuration(version, [h.route("/finish/", service)],
                           ["oak", "ash"], TENANTS)


async def probe(machine, sent, stop):
    """Asks one machine 20 times a second; notes when each was sent."""
    async def one(name):
        try:
            await h.request(
                machine.ip, machine.port("outbound"), "GET", "/finish/a", {
                    "Host": "shop.example", "X-Lentilcross-Request-Id": name,
                    "X-Lentilcross-Deadline-Ms": "2000",
                    "X-Lentilcross-Key": "key-coopers"})
        except OSError:
            pass
    tasks = []
    while not stop.is_set():
        name = h.new_id()
        sent[name] = (machine.name, time.monotonic())
        tasks.append(asyncio.ensure_future(one(name)))
        await asyncio.sleep(0.05)
    await asyncio.wait(tasks, timeout=3)


async def case(fleet, record):
    machines = [fleet.add("wp-%d" % i, "wp", s)
                for i, s in enumerate(["oak", "ash", "oak", "ash"], 1)]
    ups = [h.Upstream(m, m.service, fleet.store, record) for m in machines]
    version, service = 1, "oak"
    await fleet.store.put("op/config", document(version, service))
    for up in ups:
        await up.start()
    await fleet.start(settle_s=4.0)
    broken = 0
    for turn in range(ROUNDS):
        reader = fleet.store.reader_of_registry()
        cut = [m for m in machines if m.name == reader]
        if not cut:
            raise h.CannotRun("no machine reads the store")
        record("round %d: %s reads the store" % (turn, reader))
        sent, stop = {}, asyncio.Event()
        probes = [asyncio.ensure_future(probe(m, sent, stop))
                  for m in machines if m not in cut]
        await asyncio.sleep(0.3)
        if h.TROUBLE:
            fleet.store.cut_off(cut[0])
            record("cut      %s from the store" % reader)
        old = service
        service = "ash" if service == "oak" else "oak"
        version += 1
        await fleet.store.put("op/config", document(version, service))
        acknowledged = time.monotonic()
        record("acknowledged r%d: /finish/ goes to %s" % (version, service))
        await asyncio.sleep(CUT_S)
        if h.TROUBLE:
            fleet.store.heal(cut[0])
            record("healed   %s" % reader)
        stop.set()
        await asyncio.gather(*probes)
        late, last = [], {}
        for up in ups:
            for run in up.runs:
                if run["id"] not in sent or up.service != old:
                    continue
                machine, at = sent[run["id"]]
                after = at - acknowledged
                last[machine] = max(last.get(machine, 0), after)
                if after > APPLY_S:
                    late.append((after, machine, run["id"]))
        for machine, after in sorted(last.items()):
            record("last request at %s run by the old service was sent "
                   "%.3f s after the acknowledgement" % (machine, after))
        for after, machine, name in sorted(late):
            record("BROKEN   %s, sent to %s %.3f s after the acknowledgement "
                   "of r%d, was run by %s" % (name, machine, after, version,
                                              old))
        broken += len(late)
        await asyncio.sleep(3.5)
    record("%d requests broke the rule" % broken)
    return h.BROKEN if broken else h.HELD


sys.exit(h.main(FOLDER, case, {"wp": "manitoba"}))
