"""How noticing silence trades false alarms for time. `python -m benchmarks.notice`

Simulated writers (no sockets): 8 engines with 12 streams each write a token every 20 ms, log-normal, for a
minute; then one falls silent. Before, one or all of them write slower for twenty seconds, or rest (a pause
of the whole engine). The table has, for values of GAP_FACTOR, the streams wrongly given up in that minute and
the time to notice the loss.
"""

import random

from lifthead.resume import stall_detector
from lifthead.resume.stall_detector import StallDetector

ENGINES, STREAMS, STEP = 8, 12, 10_000
SLOW = {
    "none": (0, 1.0), "one, 5 times": (1, 5.0), "one, 15 times": (1, 15.0), "all, 5 times": (8, 5.0),
    "all, 15 times": (8, 15.0), "all, 40 times": (8, 40.0),
}  # fmt: skip


def play(slow, times, rest, seed):
    """Streams given up while all are alive, and how long the silence of engine 0 lasted before it was
    noticed."""
    chance, watch = random.Random(seed), StallDetector(10_000_000)
    due, wrong, now = {}, 0, 0
    for engine in range(ENGINES):
        for number in range(STREAMS):
            watch.started(engine * 100 + number, f"e{engine}", 0)
            due[engine * 100 + number] = chance.randint(0, 40_000)
    rests = {engine: 0 for engine in range(ENGINES)}
    silent_at = 60_000_000
    while now < silent_at + 12_000_000:
        now += STEP
        for engine in range(ENGINES):
            if rest and chance.random() < STEP / 5_000_000:
                rests[engine] = now + round(chance.uniform(0, rest))
        for stream in sorted(due):
            engine = stream // 100
            if due[stream] > now or rests[engine] > now or (engine == 0 and now >= silent_at):
                continue
            watch.progressed(stream, now)
            factor = times if engine < slow and 20_000_000 <= now < 40_000_000 else 1.0
            due[stream] = now + round(20_000 * factor * chance.lognormvariate(0, 0.4))
        for loss in watch.lost_streams(now):
            if now < silent_at:
                wrong += 1
                watch.ended(loss.stream)
                watch.started(loss.stream, loss.engine, now)
            elif loss.engine == "e0":
                return wrong, now - silent_at
    return wrong, None


def main():
    usual = stall_detector.GAP_FACTOR
    print(
        f"{'slow before':16}{'rests to':>10}"
        + "".join(f"{f'GAP_FACTOR {value:g}':>20}" for value in (2, 4, 8, 16))
    )
    for name, (slow, times) in SLOW.items():
        for rest in (0, 300_000):
            cells = []
            for value in (2, 4, 8, 16):
                stall_detector.GAP_FACTOR = value
                found = [play(slow, times, rest, seed) for seed in range(3)]
                wrong = sum(each[0] for each in found) / len(found)
                took = [each[1] for each in found if each[1] is not None]
                cells.append(
                    f"{wrong:.0f}, {sum(took) / len(took) / 1000:.0f} ms" if took else f"{wrong:.0f}, never"
                )
            print(f"{name:16}{rest // 1000:>7} ms" + "".join(f"{cell:>20}" for cell in cells), flush=True)
    stall_detector.GAP_FACTOR = usual


if __name__ == "__main__":
    main()
