import {createDaemonBlackboard} from '@carobseam/core.blackboard';
import {ManualClock} from '@carobseam/core.clock';
import {Metrics} from '@carobseam/core.metrics';
import {noticeSchema, type Notice} from '@carobseam/fleet.types';
import {
  CRASH_MARK_VALIDITY_MS,
  MAX_MARKED_FINGERPRINTS,
  requestFingerprint,
  ReplicatedCrashMarkStore,
} from '@carobseam/calls.crash_marks';
import {expect} from 'chai';

const NOTICE_DELAY_MS = 5;
const crashingRequest = requestFingerprint({method: 'GET', path: '/grid?id=1'});
const frequentRequest = requestFingerprint({method: 'GET', path: '/grid?id=2'});

/** Creates the stores of daemons that exchange notices with a delay. */
function createDaemons(count: number) {
  const clock = new ManualClock();
  const blackboards = Array.from({length: count}, createDaemonBlackboard);
  const stores: ReplicatedCrashMarkStore[] = blackboards.map(
    (blackboard, index) => {
      const broadcast = (notice: Notice) => {
        const received = noticeSchema.parse(notice);
        const others = stores.filter((_, other) => other !== index);
        clock.setTimer(NOTICE_DELAY_MS, () =>
          others.forEach(store => store.handleNotice(received)),
        );
      };
      const common = {blackboard, clock, metrics: new Metrics()};
      return new ReplicatedCrashMarkStore({
        ...common,
        broadcaster: {broadcast},
      });
    },
  );
  const crash = (index: number, runMs: number, ...fingerprints: string[]) => {
    const startedMonotonicMs = clock.monotonicMs() - runMs;
    stores[index]!.recordCrash(
      `vm-${index}:${clock.monotonicMs()}`,
      fingerprints.map(fingerprint => ({fingerprint, startedMonotonicMs})),
    );
  };
  const countRefusing = (fingerprint: string) =>
    stores.filter(store => store.isRefused(fingerprint)).length;
  return {clock, blackboards, stores, crash, countRefusing};
}

describe('ReplicatedCrashMarkStore', () => {
  it('refuses a retried request on all daemons after its second crash', () => {
    const {clock, stores, crash, countRefusing} = createDaemons(3);
    crash(0, 10, crashingRequest, frequentRequest);
    clock.advance(20);
    expect(countRefusing(crashingRequest)).to.equal(0);
    crash(1, 10, crashingRequest);
    clock.advance(20);
    expect([crashingRequest, frequentRequest].map(countRefusing)).to.deep.equal(
      [3, 0],
    );
    stores[2]!.recordCompletion(crashingRequest);
    clock.advance(20);
    expect(countRefusing(crashingRequest)).to.equal(3);
  });

  it('counts a retry that starts before the first crash is known', () => {
    const {clock, stores, crash, countRefusing} = createDaemons(2);
    const startedMonotonicMs = clock.monotonicMs() + 1;
    crash(0, 10, crashingRequest);
    clock.advance(10);
    stores[1]!.recordCrash('vm-1:1', [
      {fingerprint: crashingRequest, startedMonotonicMs, resent: true},
    ]);
    clock.advance(10);
    expect(countRefusing(crashingRequest)).to.equal(2);
  });

  // Guards against counting a crash twice that is reported twice.
  it('counts a crash once', () => {
    const {clock, stores, blackboards, countRefusing} = createDaemons(2);
    stores[0]!.recordCrash('vm-0:1', [crashingRequest]);
    clock.advance(2000);
    stores[0]!.recordCrash('vm-0:1', [crashingRequest]);
    clock.advance(10);
    expect(countRefusing(crashingRequest)).to.equal(0);
    const [mark] = blackboards[0]!.read('crashMarks');
    expect(mark).to.include({crashId: 'vm-0:1', afterCrashId: undefined});
  });

  it('clears a single mark on all daemons when the request completes', () => {
    const {clock, stores, blackboards, crash, countRefusing} = createDaemons(2);
    crash(0, 10, crashingRequest);
    clock.advance(110);
    expect(blackboards[1]!.read('crashMarks')).to.have.length(1);
    stores[1]!.recordCompletion(crashingRequest);
    clock.advance(110);
    expect(stores.map(store => store.hasMarks)).to.deep.equal([false, false]);
    expect(blackboards[0]!.read('crashMarks')).to.have.length(0);
    crash(1, 5, crashingRequest);
    expect(countRefusing(crashingRequest)).to.equal(0);
  });

  // Guards against refusing a frequent request that was in flight on all
  // workers when a rack loss, a deployment or a bad dependency crashed them.
  it('does not refuse requests in flight at simultaneous crashes', () => {
    const {clock, crash, countRefusing} = createDaemons(5);
    for (let index = 0; index < 5; index++) {
      crash(index, 200, frequentRequest);
      clock.advance(30);
    }
    expect(countRefusing(frequentRequest)).to.equal(0);
  });

  it('does not refuse a short request that completes between crashes', () => {
    const {clock, stores, crash, countRefusing} = createDaemons(5);
    for (let index = 0; index < 5; index++) {
      crash(index, 5, frequentRequest);
      clock.advance(10);
      stores[(index + 1) % 5]!.recordCompletion(frequentRequest);
      clock.advance(20);
    }
    expect(countRefusing(frequentRequest)).to.equal(0);
  });

  // Guards against refusing a request when a rolling restart interrupts it and
  // its retry.
  it('does not refuse a request that was absent at most of the crashes', () => {
    const {clock, crash, countRefusing} = createDaemons(6);
    for (let index = 0; index < 6; index++) {
      const resent = index === 0 || index === 5;
      crash(index, 10, resent ? frequentRequest : `${index}`.repeat(32));
      clock.advance(1000);
    }
    expect(countRefusing(frequentRequest)).to.equal(0);
    crash(1, 10, frequentRequest);
    clock.advance(100);
    crash(2, 10, frequentRequest);
    clock.advance(100);
    expect(countRefusing(frequentRequest)).to.equal(6);
  });

  it('separates crashes without start times by the time between them', () => {
    const {clock, stores, countRefusing} = createDaemons(2);
    for (const [distanceMs, refused] of [
      [500, 0],
      [600, 2],
    ] as const) {
      stores[0]!.recordCrash(`a${distanceMs}`, [crashingRequest]);
      clock.advance(distanceMs);
      stores[1]!.recordCrash(`b${distanceMs}`, [crashingRequest]);
      clock.advance(10);
      expect(countRefusing(crashingRequest)).to.equal(refused);
    }
  });

  it('expires marks and limits a received validity', () => {
    const {clock, stores, blackboards, crash} = createDaemons(2);
    crash(0, 10, crashingRequest);
    const mark = {
      fingerprint: frequentRequest,
      crashId: 'x',
      remainingMs: 1e12,
    };
    stores[0]!.handleNotice({kind: 'crash_mark', mark});
    clock.advance(CRASH_MARK_VALIDITY_MS - 1);
    expect(stores.map(store => store.hasMarks)).to.deep.equal([true, true]);
    clock.advance(NOTICE_DELAY_MS + 1);
    expect(stores.map(store => store.hasMarks)).to.deep.equal([false, false]);
    clock.advance(100);
    expect(blackboards[0]!.read('crashMarks')).to.deep.equal([]);
  });

  it('limits the number of marks and keeps those of refused requests', () => {
    const {clock, stores, blackboards, crash, countRefusing} = createDaemons(1);
    crash(0, 10, crashingRequest);
    clock.advance(20);
    crash(0, 10, crashingRequest);
    for (let index = 0; index < 2 * MAX_MARKED_FINGERPRINTS; index++) {
      const fingerprint = index.toString(16).padStart(32, '0');
      const mark = {fingerprint, crashId: 'x', remainingMs: 1000};
      stores[0]!.handleNotice({kind: 'crash_mark', mark});
    }
    clock.advance(100);
    expect(blackboards[0]!.read('crashMarks')).to.have.length(
      MAX_MARKED_FINGERPRINTS + 1,
    );
    expect(countRefusing(crashingRequest)).to.equal(1);
  });
});

describe('requestFingerprint', () => {
  it('covers method, path, query and body', () => {
    const request = {method: 'POST', path: '/a?b=1', body: Buffer.from('c')};
    const prints = [
      request,
      {...request, method: 'PUT'},
      {...request, path: '/a?b=2'},
      {...request, body: Buffer.from('d')},
      {method: 'POST', path: '/a?b=1'},
    ].map(requestFingerprint);
    expect(new Set(prints).size).to.equal(5);
    expect(prints[0]).to.match(/^[0-9a-f]{32}$/);
  });
});
