"""A machine of the core is removed for good and another is added, in another zone of the region. When that has long
settled, one other machine of the core loses its disk. Is the configuration that was acknowledged still read back?

SAME_ZONE=1 adds the other machine in the zone of the removed one instead. CORE=6 has the core of the site, six machines in
six zones: two are removed and replaced, one after the other, and then a region loses the disks of its two machines."""

import json
import os
import time

from harness import (BOUNDS, LIMITS, LINE, ROUTE, TROUBLE, ZONES, CannotRun, Deployment, line, main, route, table)

HOST = "hulo84.example"
if os.environ.get("CORE") == "6":
    CORE, REPLACED, WIPED, KEPT = 6, {3: 6, 4: 7}, [2, 5], 0
    ADDED_IN = {6: "seoul-mapo", 7: "busan-haeundae"}
else:
    CORE, REPLACED, WIPED, KEPT = 3, {0: 3}, [1], 2
    ADDED_IN = {3: "seoul-guro"}
if os.environ.get("SAME_ZONE") == "1":
    ADDED_IN = {added: ZONES[removed] for removed, added in REPLACED.items()}
READ_BACK_S = 30  # contact-ms is 5,000, recovery-s is 15


def members(system, n):
    status, text = system.operator(n, "GET", "/v1/members")
    return json.loads(text) if status == 200 else {}


def case(record):
    with Deployment(record, controls=CORE, gateways=2) as system:
        system.zones.update(ADDED_IN)
        for zone in ("seoul-mapo", "busan-haeundae"):
            system.add_backend("lookup", zone)
        system.start({"deliver": {
            "itineraries": table(ROUTE, route("r-1", HOST, "/one/", "safe", "lookup", open_to_all=True)),
            "carrier-lines": table(LINE, line("lookup")), "weight-limits": LIMITS}})
        running = list(range(CORE))
        # Past contact-ms, and past settle-s of a successor: nothing counts as lost any more.
        settled_s = BOUNDS["contact-ms"] / 1000 + BOUNDS["settle-s"] + 3

        for removed, added in REPLACED.items() if TROUBLE else ():
            record(f"trouble control-{removed} in {ZONES[removed]} is gone for good, with its disk")
            system.lose(removed)
            time.sleep(1.3)
            record(f"trouble control-{added} is added in {ADDED_IN[added]}, with an empty disk")
            system.spawn(f"control-{added}")
            running = [n for n in running if n != removed] + [added]
            until = time.monotonic() + 15
            while members(system, added).get("standing") != "current":
                if time.monotonic() > until:
                    raise CannotRun("the added machine did not catch up")
                time.sleep(0.2)
            record(f"joined  control-{added} stands as current")
            time.sleep(settled_s)
        if not TROUBLE:
            time.sleep(settled_s)
        for n in running:
            core = [(m["station"], m["district"], "heard" if m["heard"] else "silent")
                    for m in members(system, n).get("core", [])]
            record(f"members control-{n}: {core}")

        change = {"deliver": {"itineraries": table(
            ROUTE, route("r-2", HOST, "/two/", "safe", "lookup", edition="r2", open_to_all=True))}}
        status, _ = system.order("POST", "/v1/Timetable.Patch", change, first=KEPT)
        record(f"order   r-2 r2 to the core: {status}")
        if status != 200:
            raise CannotRun("the change was not acknowledged")
        time.sleep(1)

        if TROUBLE:
            record(f"trouble control-{WIPED} lose their disks and are back after 1.3 s")
            for n in WIPED:
                system.lose(n)
            time.sleep(1.3)
            for n in WIPED:
                system.spawn(f"control-{n}")
        time.sleep(BOUNDS["contact-ms"] / 1000)  # all are back, and the core has had its time

        began, names, answers = time.monotonic(), None, 0
        while time.monotonic() - began < READ_BACK_S and names is None:
            for n in running:
                status, text = system.operator(n, "GET", "/v1/Timetable.Get")
                answers += 1
                if status == 200:
                    names = [row[0] for row in json.loads(text)["itineraries"]["entries"]]
                    record(f"read    control-{n}: 200 after {time.monotonic() - began:.1f} s: {names}")
                    break
                if answers % 15 == 1:
                    record(f"read    control-{n}: {status} {text.decode(errors='replace')}")
            time.sleep(0.5)
        if names is None:
            record(f"read    no answer to {answers} reads in {READ_BACK_S} s")
        for n in running:
            member = members(system, n)
            record(f"members control-{n}: standing {member.get('standing')}, contact {member.get('contact')}, "
                   f"core {[m['station'] for m in member.get('core', [])]}")
        change["deliver"]["itineraries"]["entries"][0][11] = "r3"
        status, _ = system.order("POST", "/v1/Timetable.Patch", change, first=KEPT)
        record(f"order   r-2 r3 to the core, within receipt-ms: {status or 'no acknowledgement'}")
        return names is not None and {"r-1", "r-2"} <= set(names)


main(case)
