"""CONFIG: a version with many API keys."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import fleet as f  # noqa: E402

TENANTS = 8
KEYS = 1000 if f.TROUBLE else 100  # Of each tenant, in the second version.


async def play(folder):
    zones = {"mb-winnipeg": "manitoba", "ab-calgary": "alberta"}
    case = f.Fleet(folder, [("stockroom", "mb-winnipeg"),
                            ("stockroom", "ab-calgary"),
                            ("deposits", "mb-winnipeg"),
                            ("deposits", "ab-calgary")], zones)

    def version(number, keys):
        routes = [f.route("/leny950/", "idempotent", "stockroom", 5000),
                  f.route("/puka111/", "non_idempotent", "deposits", 800)]
        tenants = [{"name": f"pulo{i}", "api-keys": keys(i), "priority": 1,
                    "rate-per-s": 130, "burst": 130} for i in range(TENANTS)]
        return f.configuration(number, ["stockroom", "deposits"], routes,
                               tenants)

    async def once(key, method="GET", path="/leny950/2f"):
        identity = f.request_id()
        daemon = case.daemons[len(results) % len(case.daemons)]
        status = await f.ask(
            case.record, daemon.outbound,
            f.make_request(method, path, identity, key, 4000), identity, 6)
        ran = any(run[0] == identity for u in case.upstreams for run in u.runs)
        results.append(status)
        return status, ran

    results = []
    try:
        await case.start(version(7, lambda i: [f"old-key-of-tenant-{i:04}"]),
                         71, lambda message: 0.05)
        for _ in range(4):
            if (await once("old-key-of-tenant-0000"))[0] != 200:
                raise f.CannotRun("the first version is not served")
        # The old keys are taken away, new ones are added.
        case.publish(version(8, lambda i: [f"k{i:02}{n:05}ab3cd4ef5gh6"
                                           for n in range(KEYS)]))
        acknowledged = time.monotonic()
        await asyncio.sleep(2.5)  # config-apply-ms is 2000.
        stale = refused = 0
        while time.monotonic() - acknowledged < 10:
            status, ran = await once("old-key-of-tenant-0000", "POST",
                                     "/puka111/2f")
            stale += ran
            status, ran = await once("k0000007ab3cd4ef5gh6")
            refused += status in (401, 403)
            await asyncio.sleep(0.1)
        case.record.add("result", ran_with_dropped_key=stale,
                        refused_with_new_key=refused)
        print(f"{stale} ran with a dropped key, {refused} were refused with a "
              f"key that is there, of {len(results)}")
        return stale > 0 or refused > 0
    finally:
        case.stop()


f.run_case(HERE, play)
