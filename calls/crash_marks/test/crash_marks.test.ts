import {CrashMarks, requestFingerprint} from '@carobseam/calls.crash_marks';
import {ManualClock, SeededRandom} from '@carobseam/core.clock';
import {expect} from 'chai';

const CRASH_LIMIT = 3;
const TICK_MS = 10;
const RUN_MS = 160;
const DOWN_MS = 3000;
const DAY_MS = 8000;
const WORKERS = 7;
const SENT_PER_TICK = 3;
const MAX_SENDS = 4; // relays and callers repeat a failed request
const SEEDS = 200;

interface Run {
  fingerprint: string;
  isDeadly: boolean;
  startedMs: number;
  sends: number;
}

interface Mixture {
  deadlyShare: number;
  deadlyKinds: number;
  killShare: number;
  lostAnswerShare: number;
}

interface DayResult {
  marks: CrashMarks;
  /** Crashes that each deadly request caused. */
  crashes: Map<string, number>;
  harmless: Set<string>;
}

function fingerprintOf(path: string): string {
  return requestFingerprint({method: 'GET', path, caller: 'desk'});
}

/** Plays a day on workers that crash, with all marks known at once. */
function playDay(seed: number, mixture: Mixture): DayResult {
  const random = new SeededRandom(seed);
  const clock = new ManualClock();
  const marks = new CrashMarks({clock, crashLimit: CRASH_LIMIT});
  const running = Array.from({length: WORKERS}, () => new Set<Run>());
  const downUntilMs = new Array<number>(WORKERS).fill(0);
  const crashes = new Map<string, number>();
  const harmless = new Set<string>();
  let crashCount = 0;

  /** Crashes workers at the same moment; what they ran is sent again. */
  const crash = (workers: readonly number[]) => {
    const resent = workers.flatMap(worker => {
      const lost = [...running[worker]!];
      running[worker]!.clear();
      downUntilMs[worker] = clock.monotonicMs() + DOWN_MS;
      marks.recordCrash(
        `crash-${crashCount++}`,
        lost.map(run => ({
          fingerprint: run.fingerprint,
          startedMonotonicMs: run.startedMs,
          resent: run.sends > 1,
        })),
      );
      return lost;
    });
    resent.forEach(run => send({...run, sends: run.sends + 1}));
  };
  const send = (run: Run) => {
    const up = downUntilMs.flatMap((untilMs, worker) =>
      untilMs <= clock.monotonicMs() ? [worker] : [],
    );
    const isRefused = marks.isRefused(run.fingerprint);
    if (up.length === 0 || isRefused || run.sends > MAX_SENDS) {
      return;
    }
    const worker = up[random.nextInt(up.length)]!;
    running[worker]!.add({...run, startedMs: clock.monotonicMs()});
    if (run.isDeadly) {
      const {fingerprint} = run;
      crashes.set(fingerprint, (crashes.get(fingerprint) ?? 0) + 1);
      crash([worker]);
    }
  };

  for (let tick = 0; clock.monotonicMs() < DAY_MS; tick++) {
    clock.advance(TICK_MS);
    for (let sent = 0; sent < SENT_PER_TICK; sent++) {
      const isDeadly = random.nextFloat() < mixture.deadlyShare;
      const path = isDeadly
        ? `/deadly/${random.nextInt(mixture.deadlyKinds)}`
        : `/harmless/${tick}/${sent}`;
      const fingerprint = fingerprintOf(path);
      if (!isDeadly) {
        harmless.add(fingerprint);
      }
      send({fingerprint, isDeadly, startedMs: 0, sends: 1});
    }
    for (const runs of running) {
      for (const run of runs) {
        if (clock.monotonicMs() - run.startedMs >= RUN_MS) {
          runs.delete(run);
          if (random.nextFloat() >= mixture.lostAnswerShare) {
            marks.clear(run.fingerprint);
          }
        }
      }
    }
    if (tick % 500 === 250) {
      crash(
        [...running.keys()].filter(
          () => random.nextFloat() < mixture.killShare,
        ),
      );
    }
  }
  return {marks, crashes, harmless};
}

function createMixture(seed: number): Mixture {
  const random = new SeededRandom(seed);
  return {
    deadlyShare: 0.005 + random.nextFloat() * 0.095,
    deadlyKinds: 1 + random.nextInt(5),
    killShare: random.nextInt(2) * 0.15,
    lostAnswerShare: random.nextInt(2) * 0.03,
  };
}

describe('CrashMarks', () => {
  it('guards against refusing a harmless request for good, and against running a deadly one again and again', () => {
    const refusedHarmless: string[] = [];
    const crashCounts: number[] = [];
    for (let seed = 1; seed <= SEEDS; seed++) {
      const {marks, crashes, harmless} = playDay(seed, createMixture(seed));
      for (const fingerprint of harmless) {
        if (marks.isRefused(fingerprint)) {
          refusedHarmless.push(`seed ${seed}`);
        }
      }
      crashCounts.push(...crashes.values());
    }
    expect(refusedHarmless).to.deep.equal([]);
    // Three runs after the third crash are allowed.
    expect(Math.max(...crashCounts)).to.be.at.most(6);
  });

  it('guards against refusing a request that was in flight beside a deadly one', () => {
    const clock = new ManualClock();
    const marks = new CrashMarks({clock, crashLimit: CRASH_LIMIT});
    const [deadly, other] = ['/deadly', '/other'].map(fingerprintOf);
    for (let crash = 0; crash < 6; crash++) {
      const fingerprints = crash < 3 ? [deadly!] : [deadly!, other!];
      marks.recordCrash(
        `crash-${crash}`,
        fingerprints.map(fingerprint => ({
          fingerprint,
          startedMonotonicMs: clock.monotonicMs(),
        })),
      );
      clock.advance(100);
    }
    expect(
      [deadly, other].map(fingerprint => marks.isRefused(fingerprint!)),
    ).to.deep.equal([true, false]);
  });

  it('guards against another caller or body of a refused request counting as the same', () => {
    const request = {method: 'POST', path: '/a', body: Buffer.from('x')};
    const prints = [
      {...request, caller: 'desk'},
      {...request, caller: 'store'},
      {...request, caller: 'desk', body: Buffer.from('y')},
      request,
    ].map(requestFingerprint);
    expect(new Set(prints).size).to.equal(4);
  });
});
