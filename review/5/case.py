"""EVAC: an order to end an evacuation that was acknowledged takes effect a second time, after a later evacuation."""

import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
from harness import BOUNDS, BROKEN, HELD, Client, System, configuration, route, run_case  # noqa: E402

ZONE = "busan-haeundae"
# How long the one control process stands still; a machine may be frozen for seconds.
FREEZE_S = 1.1
# The operator does this so often, unless the rule is broken before.
ROUNDS = 6
CONTACT_S = BOUNDS["contact-ms"] / 1000
EVACUATE_S = BOUNDS["evacuate-ms"] / 1000


def case(record, is_troubled):
    zones = ["seoul-mapo", ZONE, "daejeon-yuseong"]
    system = System(record, zones, ["seoul-mapo", ZONE], [("item-lookup", zone) for zone in zones for _ in range(2)])
    clients = []
    try:
        system.start_all()
        system.apply(configuration([route("r-lookup", "/leny950/", "safe", "item-lookup", 1)], ["item-lookup"]))
        system.wait_ready()
        time.sleep(CONTACT_S)
        clients = [Client(system, gateway, "GET", "/leny950/2f") for gateway in system.data]
        for client in clients:
            client.start()
        time.sleep(2)

        frozen, other = "sorting-1", "sorting-2"
        thawed_at = 0.0
        system.order("POST", f"/v1/Evacuate.Start/{ZONE}", first=other)
        for _ in range(ROUNDS):
            time.sleep(EVACUATE_S + 1)
            # The operator takes the evacuation back. The first control process that it asks says nothing for a second.
            if is_troubled:
                frozen_at = system.signal(frozen, signal.SIGSTOP)
            system.order("POST", f"/v1/Evacuate.End/{ZONE}", first=frozen)
            # The zone has to be emptied once more.
            acknowledged_at, status, _ = system.order("POST", f"/v1/Evacuate.Start/{ZONE}", first=other)
            if is_troubled:
                time.sleep(max(0.0, frozen_at + FREEZE_S - record.now()))
                thawed_at = system.signal(frozen, signal.SIGCONT)
            time.sleep(1)
            if (system.members(other) or {}).get("evacuated") == []:
                break

        # From here on the gateways are in touch again, and the zone has been evacuated for long enough.
        judged_from = max(acknowledged_at + EVACUATE_S, thawed_at + CONTACT_S) + 0.5
        time.sleep(judged_from - record.now())
        evacuated = {name: (system.members(name) or {}).get("evacuated") for name in system.control}
        record.write("judged-from", evacuated=evacuated)
        time.sleep(5)
        judged_until = record.now()
        system.check_running()
    finally:
        for client in clients:
            client.end()
        system.end()
    return judge(record, judged_from, judged_until)


def judge(record, judged_from, judged_until):
    """EVAC: no request reaches a backend of the zone `evacuate-ms` after the evacuation was acknowledged."""
    import json
    events = [json.loads(line) for line in open(record.file.name)]
    runs = [event for event in events if event["event"] == "run" and judged_from < event["at"] < judged_until]
    in_zone = [event for event in runs if event["zone"] == ZONE]
    print(f"{len(runs)} requests were run from {judged_from:.2f} s to {judged_until:.2f} s, "
          f"{len(in_zone)} of them in the evacuated zone {ZONE}")
    return BROKEN if in_zone else HELD


run_case(HERE, case)
