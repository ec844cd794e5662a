# Three routers, twelve engines, about 10,000 requests and overlapping faults.
# `lifthead day examples/bad-day.star --seed 1 --out DIR`

rules(drain_grace = "250ms", let_go_within = "500ms", cold_share = 0.25, warm_within = "8s",
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

crowd(per_s = 65, length = "155s", retries = 1, leaves = 0.03, slow = 0.03, unstreamed = 0.1, mix = [
    mix(group = "chat", share = 0.7, new_tokens = 300, max_tokens = 24, beginning_tokens = 1500, turns = 3),
    mix(group = "change", share = 0.2, new_tokens = 3500, max_tokens = 32, beginning_share = 0.2, turns = 1),
    mix(group = "top-up", share = 0.1, new_tokens = 600, max_tokens = 24, beginning_share = 0.5, turns = 2),
])

trouble("crash", at = "10s", lasts = "6s", engines = ["cell:1"])              # the cell restarts with cold engines
trouble("lost", at = "20s", lasts = "20s", part = 0.15, engines = ["write-0-0", "write-2-1", "read-2-0"])
trouble("router_kill", at = "28s", lasts = "2s", routers = ["router-south"])
trouble("flood", at = "35s", lasts = "12s", times = 1.0, tenant = "kiosk")
trouble("drain", at = "40s", lasts = "15s", engines = ["write-0-1", "read-0-0"])
trouble("slow", at = "58s", lasts = "15s", times = 6.0, engines = ["write-2-0", "read-1-0"])
trouble("link_slow", at = "62s", lasts = "12s", times = 8.0)
trouble("reset", at = "70s", lasts = "12s", part = 0.2, engines = ["zone:north"])
trouble("flush", at = "78s")
trouble("vanish", at = "85s", lasts = "10s", engines = ["write-1-0", "write-1-1"])
trouble("late_list", at = "90s", lasts = "3s")
trouble("full", at = "95s", lasts = "12s", group = "change", engines = ["write-2-0", "write-2-1"])
trouble("garbage", at = "100s", lasts = "8s", part = 0.2, engines = ["write-0-2"])
trouble("hot_beginning", at = "108s", lasts = "12s", part = 0.25)
trouble("impatient", at = "112s", lasts = "10s", tenant = "kiosk")
trouble("long_prompts", at = "120s", lasts = "10s", part = 0.03, times = 10.0, group = "chat")
trouble("burst", at = "125s", lasts = "6s", times = 2.0)
trouble("crash", at = "126s", lasts = "5s", engines = ["zone:south"])
trouble("router_roll", at = "138s", lasts = "1s")
