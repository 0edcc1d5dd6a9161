"""A quota that two processes hold after a restart beside a lapsed host."""
import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import harness as h  # noqa: E402

RATE, BURST = 200, 20
WINDOW_S, EXCESS, SLACK = 5.0, 0.25, 20   # quota-window-s, -excess, -slack
LIMIT = (RATE * WINDOW_S + BURST) * (1 + EXCESS) + SLACK
GRACE_S = 6.0
USUAL = 50            # requests a second at each machine
HOT = 260             # hot_tenant: 5.2 times the usual, for 6.5 s
HOT_S = 6.5
WORKERS = 40


async def worker(machine, tenant, load, stop, tally):
    reader = writer = None
    due = time.monotonic()
    while not stop.is_set():
        due += WORKERS / load[0]
        await asyncio.sleep(max(0, due - time.monotonic()))
        due = max(due, time.monotonic() - 0.2)
        name = h.new_id()
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection(
                    machine.ip, machine.port("outbound"))
            writer.write(h.encode("GET", "/finish/a", {
                "Host": "shop.example", "X-Lentilcross-Request-Id": name,
                "X-Lentilcross-Deadline-Ms": "2000",
                "X-Lentilcross-Key": "key-" + tenant}))
            status, headers, _ = await asyncio.wait_for(
                h.read_answer(reader), 2.5)
        except (OSError, asyncio.TimeoutError):
            status, headers = 0, {}
        tally[(machine.name, status)] = tally.get((machine.name, status), 0) + 1
        if status == 0 or headers.get("connection") == "close":
            if writer:
                writer.transport.abort()
            writer = None
    if writer:
        writer.transport.abort()


async def case(fleet, record):
    a, b, c = [fleet.add("wp-" + n, "wp", "oak") for n in "abc"]
    ups = [h.Upstream(m, "oak", fleet.store, record, slots=100, work_s=0.004)
           for m in (a, b, c)]
    for up in ups:
        up.quiet = True
    # A tenant whose quota B and C own, not A.
    tenant = next(n for n in ("tenant-%d" % i for i in range(1000))
                  if max((a, b, c), key=lambda m: h.owner_rank(n, m.ip)) is a)
    record("tenant %s: rate %d burst %d; owners are %s" % (
        tenant, RATE, BURST, [m.name for m in sorted(
            (a, b, c), key=lambda m: h.owner_rank(tenant, m.ip))][:2]))
    await fleet.store.put("op/config", h.configuration(
        1, [h.route("/finish/", "oak")], ["oak"],
        [{"name": tenant, "api-keys": ["key-" + tenant], "priority": 1,
          "rate-per-s": RATE, "burst": BURST}]))
    for up in ups:
        await up.start()
    await fleet.start(settle_s=6.0)
    stop, tally, load = asyncio.Event(), {}, [USUAL]
    tasks = [asyncio.ensure_future(
        worker(m, tenant, load, stop, tally))
        for m in (a, b, c) for _ in range(WORKERS)]
    began = time.monotonic()
    await asyncio.sleep(8)
    crashed = ups[2]
    if h.TROUBLE:
        crashed.task.cancel()
        crashed.close()
        record("crash    the upstream on %s, 1 of 3, for good" % c.name)
        # The store drops an entry after three heartbeats of silence.
        while time.monotonic() < crashed.last_heartbeat + 4.5:
            await asyncio.sleep(0.02)
        await fleet.store.delete("servers/" + crashed.id)
        record("lapsed   " + crashed.id)
    else:
        await asyncio.sleep(4.5)
    await asyncio.sleep(1)
    a.signal(signal.SIGTERM)
    stopping = time.monotonic()
    while a.process.poll() is None:
        await asyncio.sleep(0.05)
        if time.monotonic() > stopping + GRACE_S:
            a.signal(signal.SIGKILL)
            a.process.wait()
    record("end      of the daemon on %s: status %s" % (
        a.name, a.process.returncode))
    await asyncio.sleep(0.3)
    a.start()
    await asyncio.sleep(2)
    load[0] = HOT
    record("hot      the tenant sends %.1f times its usual" % (HOT / USUAL))
    await asyncio.sleep(HOT_S)
    load[0] = USUAL
    await asyncio.sleep(1)
    stop.set()
    await asyncio.wait(tasks, timeout=4)
    for key, count in sorted(tally.items()):
        record("answers  at %s: status %d: %d" % (key[0], key[1], count))
    times = sorted(r["at"] for up in ups for r in up.runs)
    first, most, most_at = 0, 0, 0
    for last, at in enumerate(times):
        while times[first] < at - WINDOW_S:
            first += 1
        if last - first + 1 > most:
            most, most_at = last - first + 1, times[first] - began
    for second in range(int(times[-1] - began) + 1):
        record("second %2d: %d runs" % (second, sum(
            1 for t in times if second <= t - began < second + 1)))
    record("most runs in a window of %.0f s: %d, from %.2f s; the rule allows "
           "%.0f" % (WINDOW_S, most, most_at, LIMIT))
    return h.BROKEN if most > LIMIT else h.HELD


sys.exit(h.main(FOLDER, case, {"wp": "manitoba"}))
