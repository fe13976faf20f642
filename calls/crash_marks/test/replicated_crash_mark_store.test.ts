import {createDaemonBlackboard} from '@carobseam/core.blackboard';
import {ManualClock} from '@carobseam/core.clock';
import {Metrics} from '@carobseam/core.metrics';
import {noticeSchema, type Notice} from '@carobseam/fleet.types';
import {
  CRASH_MARK_VALIDITY_MS,
  MAX_MARKED_REQUESTS,
  requestFingerprint,
  ReplicatedCrashMarkStore,
} from '@carobseam/calls.crash_marks';
import {expect} from 'chai';

const NOTICE_DELAY_MS = 5;
const killer = requestFingerprint({method: 'GET', path: '/grid?id=1'});
const popular = requestFingerprint({method: 'GET', path: '/grid?id=2'});

/** Daemons that exchange notices with a delay. */
function createDaemons(count: number) {
  const clock = new ManualClock();
  const blackboards = Array.from({length: count}, createDaemonBlackboard);
  const books: ReplicatedCrashMarkStore[] = blackboards.map(
    (blackboard, index) => {
      const broadcast = (notice: Notice) => {
        const received = noticeSchema.parse(notice);
        const others = books.filter((_, other) => other !== index);
        clock.setTimer(NOTICE_DELAY_MS, () =>
          others.forEach(book => book.handleNotice(received)),
        );
      };
      const common = {blackboard, clock, metrics: new Metrics()};
      return new ReplicatedCrashMarkStore({
        ...common,
        broadcaster: {broadcast},
      });
    },
  );
  const crash = (index: number, runMs: number, ...prints: string[]) => {
    const startedMonotonicMs = clock.monotonicMs() - runMs;
    books[index]!.recordCrash(
      `vm-${index}:${clock.monotonicMs()}`,
      prints.map(fingerprint => ({fingerprint, startedMonotonicMs})),
    );
  };
  const refusing = (fingerprint: string) =>
    books.filter(book => book.isRefused(fingerprint)).length;
  return {clock, blackboards, books, crash, refusing};
}

describe('SpreadCrashMarkBook', () => {
  it('refuses a resent request everywhere after its second crash', () => {
    const {clock, books, crash, refusing} = createDaemons(3);
    crash(0, 10, killer, popular);
    clock.advance(20);
    expect(refusing(killer)).to.equal(0);
    crash(1, 10, killer);
    clock.advance(20);
    expect([killer, popular].map(refusing)).to.deep.equal([3, 0]);
    books[2]!.recordCompletion(killer);
    clock.advance(20);
    expect(refusing(killer)).to.equal(3);
  });

  it('counts a resend that outruns the notice of the first crash', () => {
    const {clock, books, crash, refusing} = createDaemons(2);
    const startedMonotonicMs = clock.monotonicMs() + 1;
    crash(0, 10, killer);
    clock.advance(10);
    books[1]!.recordCrash('vm-1:1', [
      {fingerprint: killer, startedMonotonicMs, resent: true},
    ]);
    clock.advance(10);
    expect(refusing(killer)).to.equal(2);
  });

  // Guards against one crash that is reported twice.
  it('counts a crash once', () => {
    const {clock, books, blackboards, refusing} = createDaemons(2);
    books[0]!.recordCrash('vm-0:1', [killer]);
    clock.advance(2000);
    books[0]!.recordCrash('vm-0:1', [killer]);
    clock.advance(10);
    expect(refusing(killer)).to.equal(0);
    const [mark] = blackboards[0]!.read('crashMarks');
    expect(mark).to.include({crashId: 'vm-0:1', afterCrashId: undefined});
  });

  it('clears a single mark everywhere when the request completes', () => {
    const {clock, books, blackboards, crash, refusing} = createDaemons(2);
    crash(0, 10, killer);
    clock.advance(110);
    expect(blackboards[1]!.read('crashMarks')).to.have.length(1);
    books[1]!.recordCompletion(killer);
    clock.advance(110);
    expect(books.map(book => book.hasMarks)).to.deep.equal([false, false]);
    expect(blackboards[0]!.read('crashMarks')).to.have.length(0);
    crash(1, 5, killer);
    expect(refusing(killer)).to.equal(0);
  });

  // Guards against a lost rack, a deploy or a bad dependency that crashes
  // workers while they all run the same frequent request.
  it('does not refuse requests in flight at simultaneous crashes', () => {
    const {clock, crash, refusing} = createDaemons(5);
    for (let index = 0; index < 5; index++) {
      crash(index, 200, popular);
      clock.advance(30);
    }
    expect(refusing(popular)).to.equal(0);
  });

  it('does not refuse a short request that completes between crashes', () => {
    const {clock, books, crash, refusing} = createDaemons(5);
    for (let index = 0; index < 5; index++) {
      crash(index, 5, popular);
      clock.advance(10);
      books[(index + 1) % 5]!.recordCompletion(popular);
      clock.advance(20);
    }
    expect(refusing(popular)).to.equal(0);
  });

  // Guards against a rolling restart that hits a request and its resend.
  it('does not refuse a request that misses most of the crashes', () => {
    const {clock, crash, refusing} = createDaemons(6);
    for (let index = 0; index < 6; index++) {
      const resent = index === 0 || index === 5;
      crash(index, 10, resent ? popular : `${index}`.repeat(32));
      clock.advance(1000);
    }
    expect(refusing(popular)).to.equal(0);
    crash(1, 10, popular);
    clock.advance(100);
    crash(2, 10, popular);
    clock.advance(100);
    expect(refusing(popular)).to.equal(6);
  });

  it('tells crashes without start times apart by their distance', () => {
    const {clock, books, refusing} = createDaemons(2);
    for (const [distanceMs, refused] of [
      [500, 0],
      [600, 2],
    ] as const) {
      books[0]!.recordCrash(`a${distanceMs}`, [killer]);
      clock.advance(distanceMs);
      books[1]!.recordCrash(`b${distanceMs}`, [killer]);
      clock.advance(10);
      expect(refusing(killer)).to.equal(refused);
    }
  });

  it('expires marks and limits a received validity', () => {
    const {clock, books, blackboards, crash} = createDaemons(2);
    crash(0, 10, killer);
    const mark = {fingerprint: popular, crashId: 'x', remainingMs: 1e12};
    books[0]!.handleNotice({kind: 'crash_mark', mark});
    clock.advance(CRASH_MARK_VALIDITY_MS - 1);
    expect(books.map(book => book.hasMarks)).to.deep.equal([true, true]);
    clock.advance(NOTICE_DELAY_MS + 1);
    expect(books.map(book => book.hasMarks)).to.deep.equal([false, false]);
    clock.advance(100);
    expect(blackboards[0]!.read('crashMarks')).to.deep.equal([]);
  });

  it('stays bounded and keeps requests that are refused', () => {
    const {clock, books, blackboards, crash, refusing} = createDaemons(1);
    crash(0, 10, killer);
    clock.advance(20);
    crash(0, 10, killer);
    for (let index = 0; index < 2 * MAX_MARKED_REQUESTS; index++) {
      const fingerprint = index.toString(16).padStart(32, '0');
      const mark = {fingerprint, crashId: 'x', remainingMs: 1000};
      books[0]!.handleNotice({kind: 'crash_mark', mark});
    }
    clock.advance(100);
    expect(blackboards[0]!.read('crashMarks')).to.have.length(
      MAX_MARKED_REQUESTS + 1,
    );
    expect(refusing(killer)).to.equal(1);
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
