# A small fleet in two zones for half a minute without faults. `lifthead day examples/quiet.star --seed 1 --out DIR`

rules(drain_grace = "250ms", let_go_within = "500ms", cold_share = 0.25, warm_within = "6s",
      tip_multiple = 2.5, overload_for = "1.5s", max_forwards = 5, max_hold_off = "500ms")
limits(stalled_for = "3s")

kind("reader", role = "read", memory = 200000)
kind("writer", role = "write", memory = 120000)
stand_in("reader", slots = 8, queue = 40, read_per_s = 40000)
stand_in("writer", slots = 64, queue = 32, read_per_s = 15000, step = "20ms")

for zone, cells in (("north", [0, 1]), ("south", [2, 3])):
    router("router-" + zone, zone = zone)
    for cell in cells:
        engine("read-%d" % cell, zone = zone, cell = cell, kind = "reader")
        for n in range(2):
            engine("write-%d-%d" % (cell, n), zone = zone, cell = cell, kind = "writer")

group("chat", models = ["lift-chat"], effect = "replayable", target = "1.2s", target_per_1000 = "40ms",
      deadline = "5s", importance = 1.0, late_share = 0.1)
group("summary", models = ["lift-summary"], effect = "non-replayable", target = "2.5s",
      target_per_1000 = "120ms", deadline = "10s", importance = 2.0, late_share = 0.3)

tenant("depot", keys = ["key-depot-0001"], share_per_s = 30.0)
tenant("office", keys = ["key-office-0001"], share_per_s = 15.0)

crowd(per_s = 25, length = "30s", retries = 1, unstreamed = 0.1, mix = [
    mix(group = "chat", share = 0.8, new_tokens = 300, max_tokens = 24, beginning_tokens = 1500, turns = 3),
    mix(group = "summary", share = 0.2, new_tokens = 4000, max_tokens = 32, beginning_share = 0.2, turns = 1),
])
