# Two zones with equally many engines, one with five times the clients: its prefill engines are overloaded while those
# of the other zone are idle. Engines report load only when probed, and each router sends less than a request a second.
# `lifthead lab run examples/uneven.star`

rules(drain_grace = "250ms", let_go_within = "500ms", cold_share = 0.25, warm_within = "6s",
      tip_multiple = 2.5, overload_for = "1.5s", max_forwards = 5, max_hold_off = "500ms", probes = True)

kind("reader", role = "read", memory = 200000)
kind("writer", role = "write", memory = 120000)
stand_in("reader", slots = 4, queue = 400, read_per_s = 20000)
stand_in("writer", slots = 64, queue = 32, read_per_s = 15000, step = "20ms")

for zone, routers in (("north", 30), ("south", 6)):
    for n in range(routers):
        router("router-%s-%d" % (zone, n), zone = zone)
    for n in range(4):
        engine("read-%s-%d" % (zone, n), zone = zone, cell = n % 2, kind = "reader")
        engine("write-%s-%d" % (zone, n), zone = zone, cell = n % 2, kind = "writer")

group("chat", models = ["lift-chat"], target = "2s", deadline = "8s")
tenant("depot", keys = ["key-depot-0001"], share_per_s = 1000.0)
crowd(per_s = 30, length = "30s", retries = 1, mix = [
    mix(group = "chat", share = 1.0, new_tokens = 5000, max_tokens = 24, beginning_tokens = 0, turns = 2),
])
