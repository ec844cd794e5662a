"""False alarms against detection time of the stall detector. `python -m benchmarks.notice`

Simulated decode engines (no sockets): 8 engines with 12 streams each send a token every 20 ms, log-normal,
for a minute; then one goes silent. Before that, one or all of them are slower for twenty seconds, or pause
all their streams at random. For values of GAP_FACTOR the table shows the streams wrongly given up in that
minute and the time to detect the silence.
"""

import random

from lifthead.resume import stall_detector
from lifthead.resume.stall_detector import StallDetector

ENGINES, STREAMS, STEP = 8, 12, 10_000  # STEP in microseconds
SLOW_ENGINES = {
    "none": (0, 1.0), "one, 5 times": (1, 5.0), "one, 15 times": (1, 15.0), "all, 5 times": (8, 5.0),
    "all, 15 times": (8, 15.0), "all, 40 times": (8, 40.0),
}  # fmt: skip


def simulate(slow_engines, slowdown, max_pause, seed):
    """The number of streams given up while all engines are alive, and the microseconds until the silence of
    engine 0 is detected."""
    rng, detector = random.Random(seed), StallDetector(10_000_000)
    next_token_at, false_alarms, now = {}, 0, 0
    for engine in range(ENGINES):
        for number in range(STREAMS):
            detector.started(engine * 100 + number, f"e{engine}", 0)
            next_token_at[engine * 100 + number] = rng.randint(0, 40_000)
    paused_until = {engine: 0 for engine in range(ENGINES)}
    silent_at = 60_000_000
    while now < silent_at + 12_000_000:
        now += STEP
        for engine in range(ENGINES):
            if max_pause and rng.random() < STEP / 5_000_000:
                paused_until[engine] = now + round(rng.uniform(0, max_pause))
        for stream in sorted(next_token_at):
            engine = stream // 100
            if (
                next_token_at[stream] > now
                or paused_until[engine] > now
                or (engine == 0 and now >= silent_at)
            ):
                continue
            detector.progressed(stream, now)
            factor = slowdown if engine < slow_engines and 20_000_000 <= now < 40_000_000 else 1.0
            next_token_at[stream] = now + round(20_000 * factor * rng.lognormvariate(0, 0.4))
        for loss in detector.lost_streams(now):
            if now < silent_at:
                false_alarms += 1
                detector.ended(loss.stream)
                detector.started(loss.stream, loss.engine, now)
            elif loss.engine == "e0":
                return false_alarms, now - silent_at
    return false_alarms, None


def main():
    default_factor = stall_detector.GAP_FACTOR
    print(
        f"{'slow before':16}{'pause up to':>12}"
        + "".join(f"{f'GAP_FACTOR {value:g}':>20}" for value in (2, 4, 8, 16))
    )
    for name, (slow_engines, slowdown) in SLOW_ENGINES.items():
        for max_pause in (0, 300_000):
            cells = []
            for value in (2, 4, 8, 16):
                stall_detector.GAP_FACTOR = value
                results = [simulate(slow_engines, slowdown, max_pause, seed) for seed in range(3)]
                false_alarms = sum(each[0] for each in results) / len(results)
                detection_times = [each[1] for each in results if each[1] is not None]
                cells.append(
                    f"{false_alarms:.0f}, {sum(detection_times) / len(detection_times) / 1000:.0f} ms"
                    if detection_times
                    else f"{false_alarms:.0f}, never"
                )
            print(
                f"{name:16}{max_pause // 1000:>9} ms" + "".join(f"{cell:>20}" for cell in cells), flush=True
            )
    stall_detector.GAP_FACTOR = default_factor


if __name__ == "__main__":
    main()
