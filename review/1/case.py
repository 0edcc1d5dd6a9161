"""The first deposits of a new tenant, while one machine stands still."""
import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import harness as h  # noqa: E402

ROUNDS = 8
MACHINES = 10    # one of them stands still: share 0.1
FREEZE_S = 0.6
ASK_S = 1.2


def document(version, tenants):
    return h.configuration(
        version,
        [h.route("/deposit/", "oak", kind="non_idempotent", priority=0)], ["oak"],
        [{"name": "tenant-%d" % i, "api-keys": ["key-%d" % i], "priority": 1,
          "rate-per-s": 1000, "burst": 1000} for i in range(tenants)])


async def ask(machine, key, sent, answers):
    """Deposits of the tenant at one machine, one after the other."""
    limit = time.monotonic() + ASK_S
    reader, writer = await asyncio.open_connection(
        machine.ip, machine.port("outbound"))
    while time.monotonic() < limit:
        name = h.new_id()
        sent[name] = (machine.name, time.monotonic())
        writer.write(h.encode("POST", "/deposit/a", {
            "Host": "shop.example", "X-Lentilcross-Request-Id": name,
            "X-Lentilcross-Deadline-Ms": "2500",
            "X-Lentilcross-Key": "key-%d" % key}, b"a deposit"))
        status, headers, _ = await h.read_answer(reader)
        answers[name] = status
        if status == 0 or headers.get("connection") == "close":
            break
        await asyncio.sleep(0.01)
    writer.transport.abort()


async def case(fleet, record):
    machines = [fleet.add("wp-%d" % i, "wp", "oak") for i in range(MACHINES)]
    ups = [h.Upstream(m, "oak", fleet.store, record, work_s=0.01)
           for m in machines]
    tenants = 1
    await fleet.store.put("op/config", document(tenants, tenants))
    for up in ups:
        up.quiet = True
        await up.start()
    await fleet.start(settle_s=4.0)
    broken = 0
    for turn in range(ROUNDS):
        sent, answers = {}, {}
        name = fleet.store.reader_of_registry()
        frozen = next(m for m in machines[turn:] + machines[:turn]
                      if m.name != name)
        if h.TROUBLE:
            frozen.signal(signal.SIGSTOP)
        tenants += 1
        await fleet.store.put("op/config", document(tenants, tenants))
        acknowledged = time.monotonic()
        record("acknowledged r%d: it adds tenant-%d and its key" % (
            tenants, tenants - 1))
        if not h.TROUBLE:
            await asyncio.sleep(FREEZE_S)
        asking = asyncio.ensure_future(asyncio.gather(*[
            ask(m, tenants - 1, sent, answers) for m in machines
            if m is not frozen for _ in range(2)]))
        await asyncio.sleep(FREEZE_S)
        if h.TROUBLE:
            frozen.signal(signal.SIGCONT)
        await asking
        total, wrong = 0, []
        for up in ups:
            for run in up.runs:
                if run["id"] not in sent:
                    continue
                total += 1
                tenant = run["headers"].get("x-lentilcross-tenant")
                if tenant != "tenant-%d" % (tenants - 1):
                    wrong.append((run["began"] - acknowledged, run["id"],
                                  up, tenant))
        record("round %d: %d runs, %d without their tenant" % (
            turn, total, len(wrong)))
        for after, name, up, tenant in sorted(wrong, key=lambda w: w[0]):
            record("BROKEN   %s, sent to %s with the key of tenant-%d, was "
                   "run by %s on %s %.3f s after the acknowledgement; "
                   "X-Lentilcross-Tenant: %s; the client got %s" % (
                       name, sent[name][0], tenants - 1, up.id,
                       up.machine.name, after, tenant, answers.get(name)))
        broken += len(wrong)
        await asyncio.sleep(2.0)
    record("%d runs broke the rule" % broken)
    return h.BROKEN if broken else h.HELD


sys.exit(h.main(FOLDER, case, {"wp": "manitoba"}))
