# A thousand long streams on decode engines that are killed, go silent or reset connections at random.
# `lifthead day examples/kill-streams.star --seed 1 --out DIR`

rules(drain_grace = "250ms", let_go_within = "500ms", warm_within = "2s", max_forwards = 5)
limits(stalled_for = "10s")

kind("reader", role = "read", memory = 400000)
kind("writer", role = "write", memory = 400000)
stand_in("reader", slots = 8, queue = 80, read_per_s = 80000)
stand_in("writer", slots = 128, queue = 64, read_per_s = 40000, step = "20ms")

router("router-0", zone = "a")
router("router-1", zone = "a")
for cell in (0, 1, 2):
    engine("read-%d" % cell, zone = "a", cell = cell, kind = "reader")
    for n in range(3):
        engine("write-%d-%d" % (cell, n), zone = "a", cell = cell, kind = "writer")

group("chat", models = ["lift-chat"], target = "1.5s", deadline = "10s")
tenant("depot", keys = ["key-depot-0001"], share_per_s = 100.0)
tenant("office", keys = ["key-office-0001"], share_per_s = 100.0)

crowd(per_s = 42, length = "25s", retries = 0, unstreamed = 0.0, slow = 0.03, mix = [
    mix(group = "chat", share = 0.8, new_tokens = 300, max_tokens = 1000, beginning_tokens = 1000, turns = 1),
    mix(group = "chat", share = 0.2, new_tokens = 5000, max_tokens = 1000, beginning_share = 0.0, turns = 1),
])

trouble("overlap", at = "0s", lasts = "60s", part = 0.5)
trouble("havoc", at = "2s", lasts = "25s", times = 1.5, part = 0.5, engines = ["kind:writer"])
