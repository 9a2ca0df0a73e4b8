"""Two operators change the configuration at once: each gives the same key to a tenant of its own. Each change is valid
on the configuration as it is, both together are not."""

import json
import threading
import time

from harness import (LIMITS, LINE, ROUTE, TENANT, TROUBLE, Deployment, line, main, route, table, tenant)

PAIRS, GAP_S = 3, 1.2  # the largest dose of `config_race` in the site file
HOST = "hulo84.example"


def case(record):
    with Deployment(record, controls=3, gateways=2) as system:
        for zone in ("seoul-mapo", "busan-haeundae", "daejeon-yuseong"):
            system.add_backend("claims", zone)
        system.start({"deliver": {
            "itineraries": table(ROUTE, route("r-claims", HOST, "/claims/", "safe", "claims")),
            "customers": table(TENANT, tenant("counter-desk", ["key-of-counter-desk"])),
            "carrier-lines": table(LINE, line("claims")), "weight-limits": LIMITS}})

        answers, acknowledged_at = {}, {}

        def give_key(operator, name, key):
            change = {"deliver": {"customers": table(TENANT, tenant(name, [key], "r2"))}}
            record(f"order   operator {operator} to control-{operator}: tenant {name} r2 gets {key}")
            status, text = system.order("POST", "/v1/Timetable.Patch", change, first=operator)
            answers[name], acknowledged_at[name] = status, time.monotonic()
            record(f"answer  operator {operator}: {status} {text.decode(errors='replace')}")

        for pair in range(PAIRS):
            key = f"key-{pair}"
            orders = [threading.Thread(target=give_key, args=(n, f"{'ab'[n]}{pair}", key)) for n in (0, 1)]
            for order in orders:
                order.start()
                if not TROUBLE:
                    order.join()  # one operator after the other
            for order in orders:
                order.join()
            time.sleep(GAP_S)

        time.sleep(4.5)  # timetable-ms is 4,000
        status, text = system.order("GET", "/v1/Timetable.Get")
        rows = json.loads(text)["customers"] if status == 200 else {"headings": [], "entries": []}
        at = {heading: n for n, heading in enumerate(rows["headings"])}
        held = {row[at["name"]]: row[at["permits"]] for row in rows["entries"]}
        record(f"read    Timetable.Get {status}: " + "; ".join(f"{name} {keys}" for name, keys in held.items()))

        broken = False
        for pair in range(PAIRS):
            key, names = f"key-{pair}", [f"a{pair}", f"b{pair}"]
            both_taken = all(answers.get(name) == 200 for name in names)
            holders = [name for name in names if key in held.get(name, [])]
            senders = set()
            for gateway in (0, 1):
                try_id = f"{pair:04x}{gateway:04x}"
                status, _, _ = system.request(gateway, "GET", f"/claims/{pair}", HOST, key, try_id=try_id)
                record(f"client  try={try_id} with {key} at gateway-{gateway}: {status}")
                senders |= {run[4] for backend in system.backends for run in backend.runs if run[1] == try_id}
            record(f"pair    {key}: both changes acknowledged: {both_taken}; tenants that hold it when read back: "
                   f"{holders}; the backends saw it as {sorted(senders)}")
            for name in names:
                if both_taken and name not in senders:
                    record(f"foreign a client of {name}, whose key was acknowledged, is passed on as {sorted(senders)}")
            broken |= both_taken and len(holders) > 1
        return not broken


main(case)
