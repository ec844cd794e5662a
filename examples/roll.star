# A rolling restart of three routers and twelve engines under load; engines are drained and come back cold.
# `lifthead day examples/roll.star --seed 1 --out DIR`; benchmarks/rolls.py compares it with a naive restart.

rules(drain_grace = "250ms", let_go_within = "500ms", cold_share = 0.25, warm_within = "4s",
      tip_multiple = 2.5, overload_for = "1.5s", max_forwards = 5, max_hold_off = "500ms")
limits(stalled_for = "3s")

kind("reader", role = "read", memory = 200000)
kind("writer", role = "write", memory = 120000)
stand_in("reader", slots = 8, queue = 40, read_per_s = 60000)
stand_in("writer", slots = 64, queue = 32, read_per_s = 20000, step = "20ms")

ZONES = {"north": [0], "centre": [1], "south": [2]}
for zone, cells in ZONES.items():
    router("router-" + zone, zone = zone)
    for cell in cells:
        engine("read-%d-0" % cell, zone = zone, cell = cell, kind = "reader")
        for n in range(3):
            engine("write-%d-%d" % (cell, n), zone = zone, cell = cell, kind = "writer")

group("chat", models = ["lift-chat"], effect = "replayable", target = "1.2s", target_per_1000 = "40ms",
      deadline = "5s", importance = 1.0, late_share = 0.1)
group("change", models = ["lift-change"], effect = "non-replayable", target = "2.5s",
      target_per_1000 = "120ms", deadline = "12s", importance = 2.0, late_share = 0.3)

group("top-up", models = ["lift-top-up"], effect = "keyed", keyed_within = "zone", keyed_for = "4s", target = "1.5s",
      target_per_1000 = "40ms", deadline = "6s", importance = 1.5, late_share = 0.1)

tenant("depot", keys = ["key-depot-0001"], share_per_s = 40.0)
tenant("office", keys = ["key-office-0001"], share_per_s = 20.0)
tenant("kiosk", keys = ["key-kiosk-0001"], share_per_s = 10.0)

crowd(per_s = 40, length = "100s", retries = 1, leaves = 0.03, slow = 0.03, unstreamed = 0.1, mix = [
    mix(group = "chat", share = 0.7, new_tokens = 300, max_tokens = 24, beginning_tokens = 1500, turns = 3),
    mix(group = "change", share = 0.2, new_tokens = 3500, max_tokens = 32, beginning_share = 0.2, turns = 1),
    mix(group = "top-up", share = 0.1, new_tokens = 600, max_tokens = 24, beginning_share = 0.5, turns = 2),
])

trouble("roll", at = "3s", engines = ["zone:north", "zone:centre", "zone:south"], limit = "3s", part = 0.6, times = 0.25,
        routers = ["router-north", "router-centre", "router-south"])
